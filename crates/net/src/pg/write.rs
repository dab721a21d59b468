//! Messages that the pooler writes, appended to a buffer.

/// The severity of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Severity {
    /// The query has failed.
    Error,
    /// The connection ends.
    Fatal,
}

/// Appends a message whose body is written by `fill`.
fn message(out: &mut Vec<u8>, tag: u8, fill: impl FnOnce(&mut Vec<u8>)) {
    out.push(tag);
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    fill(out);
    let length = u32::try_from(out.len() - at).unwrap_or(u32::MAX);
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.bytes().filter(|byte| *byte != 0));
    out.push(0);
}

/// The answer to a startup message: AuthenticationOk, parameters, BackendKeyData and ReadyForQuery.
pub fn session_start(out: &mut Vec<u8>, process: u32, secret: u32) {
    message(out, b'R', |out| out.extend_from_slice(&0_u32.to_be_bytes()));
    let parameters = [
        ("server_version", "15.0 (linnetdeal)"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
    ];
    for (name, value) in parameters {
        message(out, b'S', |out| {
            text(out, name);
            text(out, value);
        });
    }
    message(out, b'K', |out| {
        out.extend_from_slice(&process.to_be_bytes());
        out.extend_from_slice(&secret.to_be_bytes());
    });
    ready_for_query(out);
}

/// ReadyForQuery, outside a transaction.
pub fn ready_for_query(out: &mut Vec<u8>) {
    message(out, b'Z', |out| out.push(b'I'));
}

/// EmptyQueryResponse.
pub fn empty_query_response(out: &mut Vec<u8>) {
    message(out, b'I', |_| {});
}

/// CommandComplete.
pub fn command_complete(out: &mut Vec<u8>, tag: &str) {
    message(out, b'C', |out| text(out, tag));
}

/// ErrorResponse; `detail` becomes its field D.
pub fn error_response(
    out: &mut Vec<u8>,
    severity: Severity,
    code: &str,
    error_message: &str,
    detail: Option<&str>,
) {
    let severity = if severity == Severity::Fatal { "FATAL" } else { "ERROR" };
    message(out, b'E', |out| {
        for (field, value) in [(b'S', severity), (b'V', severity), (b'C', code), (b'M', error_message)] {
            out.push(field);
            text(out, value);
        }
        if let Some(detail) = detail {
            out.push(b'D');
            text(out, detail);
        }
        out.push(0);
    });
}

/// The startup message of a connection to a server.
pub fn startup(out: &mut Vec<u8>, user: &str, database: &str) {
    let at = out.len();
    out.extend_from_slice(&[0; 4]);
    out.extend_from_slice(&(3_u32 << 16).to_be_bytes());
    for field in ["user", user, "database", database] {
        text(out, field);
    }
    out.push(0);
    let length = u32::try_from(out.len() - at).unwrap_or(u32::MAX);
    out[at..at + 4].copy_from_slice(&length.to_be_bytes());
}

/// A simple query.
pub fn query(out: &mut Vec<u8>, statement: &str) {
    message(out, b'Q', |out| text(out, statement));
}

/// The header of a simple query. Its statement of `statement` bytes, including the zero byte, is written after it.
#[must_use]
pub fn query_head(statement: usize) -> [u8; 5] {
    let [a, b, c, d] = u32::try_from(statement + 4).unwrap_or(u32::MAX).to_be_bytes();
    [b'Q', a, b, c, d]
}
