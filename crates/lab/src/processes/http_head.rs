//! Reads the head of an HTTP/1.1 request, for stand-in servers.

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// A request with a longer head is rejected.
const MAX_HEAD_BYTES: usize = 8 * 1024;
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// The head of a request, in lower case.
pub struct RequestHead(String);

impl RequestHead {
    /// Reads a head. `None` if the connection is closed before its end, or if it is too long.
    ///
    /// # Errors
    ///
    /// When the connection fails, or no data arrives for five seconds.
    pub fn read(stream: &mut TcpStream) -> std::io::Result<Option<Self>> {
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let (mut head, mut bytes) = (Vec::new(), [0; 1_024]);
        while !head.windows(4).any(|four| four == b"\r\n\r\n") {
            match stream.read(&mut bytes)? {
                0 => return Ok(None),
                _ if head.len() > MAX_HEAD_BYTES => return Ok(None),
                size => head.extend_from_slice(&bytes[..size]),
            }
        }
        Ok(Some(Self(String::from_utf8_lossy(&head).to_ascii_lowercase())))
    }

    /// The value of a header field, by its name in lower case; empty if there is none.
    #[must_use]
    pub fn header(&self, name: &str) -> String {
        let line = self.0.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(": "));
        line.unwrap_or("").trim().to_owned()
    }
}
