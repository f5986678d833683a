//! Prints to the standard output.

use std::io::{self, Write};

use serde::Serialize;

/// Prints a line to the standard output; errors such as a closed pipe are ignored.
pub(crate) fn print_line(line: &str) {
    let _ = try_print_line(line);
}

/// Prints a line to the standard output.
///
/// # Errors
///
/// Returns an error if the line can't be written, so that a command with endless output stops
/// when its pipe is closed.
pub(crate) fn try_print_line(line: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

/// Prints a value as pretty-printed JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}
