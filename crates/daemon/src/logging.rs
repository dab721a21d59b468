//! Log lines on standard error: text, or one JSON object a line.

use linnetdeal_operator::{LogFormat, LogSettings};
use std::io::{self, Write};
use tracing::Level;

/// Standard error, where nobody may read any more: what can't be written is lost, and nothing else happens.
struct Lossy;

impl Write for Lossy {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Has all that the program says from now on written so.
pub fn start(settings: &LogSettings) {
    let level = match settings.level.as_str() {
        "error" => Level::ERROR,
        "warn" => Level::WARN,
        "debug" => Level::DEBUG,
        _ => Level::INFO,
    };
    // With the subscriber's own complaints left out: they would go to the same standard error, and end the process
    // where that is closed.
    let lines = tracing_subscriber::fmt().with_max_level(level).with_writer(|| Lossy).with_ansi(false);
    let lines = lines.log_internal_errors(false);
    match settings.format {
        LogFormat::Text => lines.with_target(false).init(),
        LogFormat::Json => lines.json().flatten_event(true).init(),
    }
}
