//! PostgreSQL's protocol, version 3, as far as simple queries need it. Parsers and writers without I/O:
//! messages are slices of the buffer that they were read into.

mod backend;
mod comment;
mod frontend;
pub mod write;

pub use backend::{
    Answer, AnswerPart, Code, ErrorFields, StatusParameters, error_fields, is_ready_for_query, large_row,
    load_report, parameter, row_value, server_message, single_value_row,
};
pub use comment::{Comment, StatementKind, parse_statement, quoted_key};
pub use frontend::{Startup, query_text, startup};

/// Maximum size of a value that is buffered.
pub const MAX_VALUE_SIZE: usize = 64 * 1024;
/// Maximum size of a value that is streamed in pieces and never buffered whole.
pub const MAX_STREAMED_VALUE_SIZE: usize = 4 * 1024 * 1024;
/// Maximum size of a message from a client: a value takes up twice its size as hex digits in a statement.
pub const MAX_MESSAGE_SIZE: usize = 2 * MAX_VALUE_SIZE + 4 * 1024;
/// Maximum size of a startup message, as in PostgreSQL.
pub const MAX_STARTUP_SIZE: usize = 10_000;

/// Why a stream of messages is not valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PgError {
    /// A length that is too small or over the limit.
    #[error("a message gives its length as {0}")]
    Length(u32),
    /// A protocol version other than 3.
    #[error("protocol version {0}.{1} is not spoken here")]
    Version(u16, u16),
    /// A message with malformed contents.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// A complete message with its tag.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message<'a> {
    /// The first byte, which tells the type of the message.
    pub tag: u8,
    /// Everything after the length.
    pub body: &'a [u8],
    /// The size of the whole message in the stream.
    pub size: usize,
}

/// The first message in `data` from a client; `None` while it is incomplete.
///
/// # Errors
///
/// When the length is not valid or over [`MAX_MESSAGE_SIZE`].
pub fn message(data: &[u8]) -> Result<Option<Message<'_>>, PgError> {
    bounded(data, MAX_MESSAGE_SIZE)
}

/// The size of the first message in `data` from a client, as far as its header has arrived and is valid.
#[must_use]
pub fn message_size(data: &[u8]) -> Option<usize> {
    length(data.get(1..)?, MAX_MESSAGE_SIZE).ok().flatten().map(|length| 1 + length)
}

/// The first message in `data`, if its length is at most `max_length`.
fn bounded(data: &[u8], max_length: usize) -> Result<Option<Message<'_>>, PgError> {
    let Some((&tag, rest)) = data.split_first() else { return Ok(None) };
    let Some(length) = length(rest, max_length)? else { return Ok(None) };
    let body = rest.get(4..length);
    Ok(body.map(|body| Message { tag, body, size: 1 + length }))
}

/// The length field at the front, which includes itself.
fn length(data: &[u8], max_length: usize) -> Result<Option<usize>, PgError> {
    let Some(word) = data.first_chunk::<4>().map(|word| u32::from_be_bytes(*word)) else { return Ok(None) };
    let length = usize::try_from(word).unwrap_or(usize::MAX);
    if (4..=max_length).contains(&length) { Ok(Some(length)) } else { Err(PgError::Length(word)) }
}

/// Splits off a string with a terminating zero byte.
fn text<'a>(data: &'a [u8], what: &'static str) -> Result<(&'a str, &'a [u8]), PgError> {
    let end = data.iter().position(|byte| *byte == 0).ok_or(PgError::Malformed(what))?;
    let text = std::str::from_utf8(&data[..end]).map_err(|_| PgError::Malformed(what))?;
    Ok((text, &data[end + 1..]))
}
