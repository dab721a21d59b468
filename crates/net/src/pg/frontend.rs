//! Messages sent by a client.

use super::{MAX_STARTUP_SIZE, PgError, length, text};

/// The message that opens a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Startup {
    /// A request for TLS or GSS encryption, answered with one byte; another startup message follows.
    Encryption,
    /// A request to cancel a query; it gets no answer.
    Cancel,
    /// The start of a session.
    Session,
}

const SPECIAL: u16 = 1234;
const CANCEL: u16 = 5678;
const TLS: u16 = 5679;
const GSS: u16 = 5680;

/// The startup message in `data` and its size; `None` while it is incomplete.
///
/// # Errors
///
/// When its length or version is not valid.
pub fn startup(data: &[u8]) -> Result<Option<(Startup, usize)>, PgError> {
    let Some(size) = length(data, MAX_STARTUP_SIZE)? else { return Ok(None) };
    let Some(body) = data.get(4..size) else { return Ok(None) };
    let Some(&[a, b, c, d]) = body.first_chunk::<4>() else {
        return Err(PgError::Malformed("startup message"));
    };
    let kind = match (u16::from_be_bytes([a, b]), u16::from_be_bytes([c, d])) {
        (SPECIAL, CANCEL) => Startup::Cancel,
        (SPECIAL, TLS | GSS) => Startup::Encryption,
        (3, _) => Startup::Session,
        (major, minor) => return Err(PgError::Version(major, minor)),
    };
    Ok(Some((kind, size)))
}

/// The statement of a simple query.
///
/// # Errors
///
/// When it is not UTF-8 text with a terminating zero byte.
pub fn query_text(body: &[u8]) -> Result<&str, PgError> {
    match text(body, "query")? {
        (statement, []) => Ok(statement),
        _ => Err(PgError::Malformed("query")),
    }
}
