//! The statement of a request: the comment that says what is asked, and the quoted key.

use super::PgError;
use std::ops::Range;

/// The longest id that a request may have.
const MAX_ID_LEN: usize = 64;

/// What the comment of a request says.
#[derive(Clone, Debug, PartialEq)]
pub struct Comment<'a> {
    /// The client's id of the request.
    pub id: &'a str,
    /// The class.
    pub class: &'a str,
    /// The tenant.
    pub tenant: Option<&'a str>,
    /// Its client marks it as a retry.
    pub retry: bool,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: f64,
    /// Where that number stands in the statement: it is rewritten for each attempt.
    pub timeout_range: Range<usize>,
    /// The group.
    pub group: i64,
    /// The time of the session's last commit, Unix time in milliseconds, where clients carry it.
    pub last_commit_ms: Option<f64>,
}

/// What a statement asks of the pooler.
#[derive(Clone, Debug, PartialEq)]
pub enum StatementKind<'a> {
    /// Nothing at all.
    Empty,
    /// A change of the session's own state, which has no effect here: the command's tag.
    SessionCommand(&'static str),
    /// A request to route.
    Request(Comment<'a>),
    /// Anything else, which is not served.
    Unsupported,
}

/// Reads a statement.
///
/// # Errors
///
/// When it has a comment of a request that lacks a part or has an unreadable one.
pub fn parse_statement(statement: &str) -> Result<StatementKind<'_>, PgError> {
    let trimmed = statement.trim_matches(|c: char| c.is_ascii_whitespace() || c == ';');
    if trimmed.is_empty() {
        return Ok(StatementKind::Empty);
    }
    if let Some(inner) = comment_at(statement) {
        return comment(statement, inner).map(StatementKind::Request);
    }
    let word = trimmed.split(|c: char| !c.is_ascii_alphabetic()).next().unwrap_or("");
    let command = ["SET", "RESET", "DISCARD"].into_iter().find(|command| word.eq_ignore_ascii_case(command));
    Ok(command.map_or(StatementKind::Unsupported, StatementKind::SessionCommand))
}

/// Where the inside of the comment at the end stands.
fn comment_at(statement: &str) -> Option<Range<usize>> {
    let end =
        statement.trim_end_matches(|c: char| c.is_ascii_whitespace() || c == ';').strip_suffix("*/")?.len();
    let start = statement[..end].rfind("/*")? + 2;
    Some(start..end)
}

fn comment(statement: &str, inner: Range<usize>) -> Result<Comment<'_>, PgError> {
    let (mut id, mut class, mut timeout, mut group, mut last_commit_ms) = (None, None, None, None, None);
    let (mut tenant, mut retry) = (None, false);
    let mut at = inner.start;
    for pair in statement[inner].split(',') {
        let (name, value) = pair.split_once('=').ok_or(PgError::Malformed("request comment"))?;
        let from = at + name.len() + 1 + (value.len() - value.trim_start().len());
        at += pair.len() + 1;
        let value = value.trim();
        match name.trim() {
            "id" => id = Some(value).filter(|id| is_id(id)),
            "c" => class = Some(value),
            "t" => tenant = Some(value),
            "r" => retry = value == "1",
            "d" => timeout = Some((value, from..from + value.len())),
            "cluster" => group = Some(value),
            "after" => last_commit_ms = value.parse().ok(),
            _ => {}
        }
    }
    let missing = PgError::Malformed("request comment");
    let (timeout, timeout_range) = timeout.ok_or(missing)?;
    // No sign, no exponent, no 'inf' or 'nan', all of which the standard library would read.
    let is_decimal = timeout.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    let timeout_ms =
        timeout.parse().ok().filter(|ms| is_decimal && (0.0..1e9).contains(ms)).ok_or(missing)?;
    let group = group.map_or(Ok(0), str::parse).map_err(|_| missing)?;
    let (id, class) = (id.ok_or(missing)?, class.ok_or(missing)?);
    Ok(Comment { id, class, tenant, retry, timeout_ms, timeout_range, group, last_commit_ms })
}

/// Whether a client's id of a request can be one.
fn is_id(id: &str) -> bool {
    (1..=MAX_ID_LEN).contains(&id.len())
        && id.bytes().all(|byte| byte.is_ascii_alphanumeric() || byte == b'-')
}

/// The first quoted text of a statement, without its quotes; a doubled quote in it stays doubled.
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
