//! Prints results.

use std::io::{self, Write};

use serde::Serialize;

/// Prints a line to the standard output; a closed pipe is not an error.
pub(crate) fn print_line(line: &str) {
    let _ = try_print_line(line);
}

/// Prints a line to the standard output.
///
/// # Errors
///
/// Returns an error when the reader has gone, so that an endless output can end.
pub(crate) fn try_print_line(line: &str) -> io::Result<()> {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()
}

/// Prints a value as indented JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}
