//! A minimal HTTP/1.1 response parser, sufficient for a streamed body of JSON objects. Does no I/O.

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum size of a chunk, in bytes. The list of the largest fleet takes some 1.5 MB.
const MAX_CHUNK_BYTES: usize = 4 * 1024 * 1024;

/// Why a response can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpError {
    /// The status is not 200.
    #[error("status {0}")]
    Status(String),
    /// The named part of the response violates HTTP.
    #[error("malformed {0}")]
    Malformed(&'static str),
}

/// The head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Whether the body uses the chunked transfer encoding.
    pub chunked: bool,
    /// Size of the head in bytes, the empty line included.
    pub size: usize,
}

fn find_line_end(data: &[u8]) -> Option<usize> {
    data.windows(2).position(|pair| pair == b"\r\n")
}

/// Parses the response head at the start of `data`; `None` while it is incomplete.
///
/// # Errors
///
/// When the status is not 200, or the head is not UTF-8 or exceeds the size limit.
pub fn head(data: &[u8]) -> Result<Option<Head>, HttpError> {
    let Some(end) = data.windows(4).position(|window| window == b"\r\n\r\n") else {
        return if data.len() > MAX_HEAD_BYTES { Err(HttpError::Malformed("head")) } else { Ok(None) };
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

/// Parses the first chunk of `data`: its content, and the bytes that it occupies with its framing. `None` while
/// it is incomplete. An empty chunk ends the body.
///
/// # Errors
///
/// When the chunk size is malformed or exceeds the limit, or the chunk has no line end.
pub fn chunk(data: &[u8]) -> Result<Option<(&[u8], usize)>, HttpError> {
    let malformed = HttpError::Malformed("chunk");
    let Some(end) = find_line_end(&data[..data.len().min(64)]) else {
        return if data.len() < 64 { Ok(None) } else { Err(malformed) };
    };
    let digits = std::str::from_utf8(&data[..end]).map_err(|_| malformed.clone())?;
    let digits = digits.split(';').next().unwrap_or("").trim();
    let length = usize::from_str_radix(digits, 16)
        .ok()
        .filter(|length| *length <= MAX_CHUNK_BYTES)
        .ok_or(malformed.clone())?;
    let start = end + 2;
    let Some(rest) = data.get(start..start + length + 2) else { return Ok(None) };
    if !rest.ends_with(b"\r\n") {
        return Err(malformed);
    }
    Ok(Some((&rest[..length], start + length + 2)))
}
