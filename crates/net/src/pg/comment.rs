//! The statement of a request: the comment that describes the request, and the quoted key.

use super::PgError;
use std::ops::Range;

/// Maximum length of a request's id.
const MAX_ID_LEN: usize = 64;

/// The contents of a request's comment.
#[derive(Clone, Debug, PartialEq)]
pub struct Comment<'a> {
    /// The client's id of the request.
    pub id: &'a str,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant.
    pub tenant: Option<&'a str>,
    /// Whether the client marked the request as a retry.
    pub retry: bool,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: f64,
    /// The position of that number in the statement; it is rewritten for each attempt.
    pub timeout_range: Range<usize>,
    /// The group.
    pub group: i64,
    /// The session's last commit as Unix time in milliseconds, if the client reports it.
    pub last_commit_ms: Option<f64>,
}

/// The kind of a statement.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind<'a> {
    /// An empty statement.
    Empty,
    /// A change of session state, which has no effect in the pooler; holds the command tag.
    SessionCommand(&'static str),
    /// A request to be routed.
    Request(Comment<'a>),
    /// Any other statement, which is not served.
    Unsupported,
}

/// Parses a statement.
///
/// # Errors
///
/// When it has a request comment in which a field is missing or malformed.
pub fn parse_statement(statement: &str) -> Result<StatementKind<'_>, PgError> {
    let trimmed = statement.trim_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    if trimmed.is_empty() {
        return Ok(StatementKind::Empty);
    }
    if let Some(inner) = comment_range(statement) {
        return parse_comment(statement, inner).map(StatementKind::Request);
    }
    let word = trimmed.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    let command = ["SET", "RESET", "DISCARD"].into_iter().find(|command| word.eq_ignore_ascii_case(command));
    Ok(command.map_or(StatementKind::Unsupported, StatementKind::SessionCommand))
}

/// The position of the text within the comment at the end of a statement.
fn comment_range(statement: &str) -> Option<Range<usize>> {
    let end =
        statement.trim_end_matches(|c: char| c.is_ascii_whitespace() || c == ';').strip_suffix("*/")?.len();
    let start = statement[..end].rfind("/*")? + 2;
    Some(start..end)
}

fn parse_comment(statement: &str, inner: Range<usize>) -> Result<Comment<'_>, PgError> {
    let (mut id, mut class, mut timeout, mut group, mut last_commit_ms) = (None, None, None, None, None);
    let (mut tenant, mut retry) = (None, false);
    let mut offset = inner.start;
    for pair in statement[inner].split(',') {
        let (name, value) = pair.split_once('=').ok_or(PgError::Malformed("request comment"))?;
        let value_start = offset + name.len() + 1 + (value.len() - value.trim_start().len());
        offset += pair.len() + 1;
        let value = value.trim();
        match name.trim() {
            "id" => id = Some(value).filter(|id| is_valid_id(id)),
            "c" => class = Some(value),
            "t" => tenant = Some(value),
            "r" => retry = value == "1",
            "d" => timeout = Some((value, value_start..value_start + value.len())),
            "cluster" => group = Some(value),
            "after" => last_commit_ms = value.parse().ok(),
            _ => {}
        }
    }
    let malformed = PgError::Malformed("request comment");
    let (timeout, timeout_range) = timeout.ok_or(malformed)?;
    // The standard library would also accept a sign, an exponent, 'inf' and 'nan'.
    let is_decimal = timeout.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let timeout_ms =
        timeout.parse().ok().filter(|ms| is_decimal && (0.0..1e9).contains(ms)).ok_or(malformed)?;
    let group = group.map_or(Ok(0), str::parse).map_err(|_| malformed)?;
    let (id, class) = (id.ok_or(malformed)?, class.ok_or(malformed)?);
    Ok(Comment { id, class, tenant, retry, timeout_ms, timeout_range, group, last_commit_ms })
}

/// Whether a client's id of a request is valid.
fn is_valid_id(id: &str) -> bool {
    (1..=MAX_ID_LEN).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// The first quoted string of a statement, without its quotes; doubled quotes in it stay doubled.
#[must_use]
pub fn quoted_key(statement: &str) -> Option<&str> {
    let start = statement.find('\'')? + 1;
    let inside = &statement[start..];
    let mut quotes = inside.match_indices('\'').map(|(at, _)| at);
    while let Some(at) = quotes.next() {
        if !inside[at + 1..].starts_with('\'') {
            return Some(&inside[..at]);
        }
        quotes.next();
    }
    None
}
