//! As much of HTTP/1.1 as a chunked answer of one JSON object a line needs. No I/O.

/// A head or a chunk longer than this is not read on.
const LONGEST: usize = 4 * 1024 * 1024;

/// Why an answer can't be followed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// A status other than 200.
    #[error("status {0}")]
    Status(String),
    /// Not what HTTP has.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The head of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The body comes in chunks.
    pub chunked: bool,
    /// The bytes that it takes up.
    pub size: usize,
}

fn line_end(data: &[u8]) -> Option<usize> {
    data.windows(2).position(|two| two == b"\r\n")
}

/// The head at the front of `data`; `None` while it is not all there.
///
/// # Errors
///
/// When the status is not 200, or there is no end to the head.
pub fn head(data: &[u8]) -> Result<Option<Head>, HttpError> {
    let Some(end) = data.windows(4).position(|four| four == b"\r\n\r\n") else {
        return if data.len() > LONGEST { Err(HttpError::Malformed("head")) } else { Ok(None) };
    };
    let text = std::str::from_utf8(&data[..end]).map_err(|_| HttpError::Malformed("head"))?;
    let mut lines = text.split("\r\n");
    let status = lines.next().unwrap_or("");
    if !status.starts_with("HTTP/1.") || status.split(' ').nth(1) != Some("200") {
        return Err(HttpError::Status(status.chars().take(80).collect()));
    }
    let chunked = lines.filter_map(|line| line.split_once(':')).any(|(name, value)| {
        name.eq_ignore_ascii_case("transfer-encoding") && value.to_ascii_lowercase().contains("chunked")
    });
    Ok(Some(Head { chunked, size: end + 4 }))
}

/// The first chunk in `data` and the bytes that it takes up; `None` while it is not all there. An empty one
/// ends the body.
///
/// # Errors
///
/// When its size is unreadable or too large.
pub fn chunk(data: &[u8]) -> Result<Option<(&[u8], usize)>, HttpError> {
    let bad = HttpError::Malformed("chunk");
    let Some(end) = line_end(&data[..data.len().min(64)]) else {
        return if data.len() < 64 { Ok(None) } else { Err(bad) };
    };
    let digits = std::str::from_utf8(&data[..end]).map_err(|_| bad.clone())?;
    let digits = digits.split(';').next().unwrap_or("").trim();
    let length =
        usize::from_str_radix(digits, 16).ok().filter(|length| *length <= LONGEST).ok_or(bad.clone())?;
    let from = end + 2;
    let Some(rest) = data.get(from..from + length + 2) else { return Ok(None) };
    if !rest.ends_with(b"\r\n") {
        return Err(bad);
    }
    Ok(Some((&rest[..length], from + length + 2)))
}
