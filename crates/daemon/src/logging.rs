//! Logging to standard error, as text or as one JSON object per line.

use linnetdeal_operator::{LogFormat, LogSettings};
use std::io::{self, Write};
use tracing::Level;

/// Standard error that ignores write errors: if it is closed, log lines are lost and the process continues.
struct LossyStderr;

impl Write for LossyStderr {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = io::stderr().write_all(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Installs the subscriber for all log lines from now on.
pub fn start(settings: &LogSettings) {
    let level = match settings.level.as_str() {
        "error" => Level::ERROR,
        "warn" => Level::WARN,
        "debug" => Level::DEBUG,
        _ => Level::INFO,
    };
    // The subscriber's own error messages are disabled: they are written to the same standard error, and would
    // panic if it is closed.
    let builder =
        tracing_subscriber::fmt().with_max_level(level).with_writer(|| LossyStderr).with_ansi(false);
    let builder = builder.log_internal_errors(false);
    match settings.format {
        LogFormat::Text => builder.with_target(false).init(),
        LogFormat::Json => builder.json().flatten_event(true).init(),
    }
}
