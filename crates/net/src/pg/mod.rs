//! PostgreSQL's protocol, version 3, as far as simple queries need it. Parsers and writers without I/O:
//! messages are slices of the buffer that they were read into.

mod backend;
mod comment;
mod frontend;
pub mod write;

pub use backend::{
    Answer, AnswerPart, Code, ErrorFields, StatusParameters, error_fields, is_ready_for_query, large_row,
    load_report, parameter, row_value, server_message,
};
pub use comment::{Comment, StatementKind, parse_statement, quoted_key};
pub use frontend::{Startup, query_text, startup};

/// The longest value.
pub const MAX_VALUE_SIZE: usize = 64 * 1024;
/// The longest value that is passed on in pieces as it comes, never held whole.
pub const MAX_STREAMED_VALUE_SIZE: usize = 4 * 1024 * 1024;
/// The longest message taken from a client: a value doubles as hex digits in a statement.
pub const MAX_MESSAGE_SIZE: usize = 2 * MAX_VALUE_SIZE + 4 * 1024;
/// The longest startup message, as PostgreSQL has it.
pub const MAX_STARTUP_SIZE: usize = 10_000;

/// Why a stream of messages can't be followed any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PgError {
    /// A length that no message has, or one over the limit.
    #[error("a message gives its length as {0}")]
    Length(u32),
    /// A protocol version other than 3.
    #[error("protocol version {0}.{1} is not spoken here")]
    Version(u16, u16),
    /// A message whose inside does not hold together.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// A whole message with its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The first byte, which tells its kind.
    pub tag: u8,
    /// What follows the length.
    pub body: &'a [u8],
    /// The bytes that it takes up in the stream.
    pub size: usize,
}

/// The first message in `data` from a client; `None` while it is not all there.
///
/// # Errors
///
/// When the length is impossible or over [`MAX_MESSAGE_SIZE`].
pub fn message(data: &[u8]) -> Result<Option<Message<'_>>, PgError> {
    bounded(data, MAX_MESSAGE_SIZE)
}

/// The first message in `data`, if its length is no more than this.
fn bounded(data: &[u8], max_length: usize) -> Result<Option<Message<'_>>, PgError> {
    let Some((&tag, rest)) = data.split_first() else { return Ok(None) };
    let Some(length) = length(rest, max_length)? else { return Ok(None) };
    let body = rest.get(4..length);
    Ok(body.map(|body| Message { tag, body, size: 1 + length }))
}

/// The length word at the front, which counts itself.
fn length(data: &[u8], max_length: usize) -> Result<Option<usize>, PgError> {
    let Some(word) = data.first_chunk::<4>().map(|word| u32::from_be_bytes(*word)) else { return Ok(None) };
    let length = usize::try_from(word).unwrap_or(usize::MAX);
    if (4..=max_length).contains(&length) { Ok(Some(length)) } else { Err(PgError::Length(word)) }
}

/// Splits off a text that ends with a zero byte.
fn text<'a>(data: &'a [u8], what: &'static str) -> Result<(&'a str, &'a [u8]), PgError> {
    let end = data.iter().position(|byte| *byte == 0).ok_or(PgError::Malformed(what))?;
    let text = std::str::from_utf8(&data[..end]).map_err(|_| PgError::Malformed(what))?;
    Ok((text, &data[end + 1..]))
}
