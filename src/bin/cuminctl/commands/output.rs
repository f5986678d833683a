//! Prints results.

use std::io::Write;

use serde::Serialize;

/// Prints a line to the standard output; a closed pipe is not an error.
pub(crate) fn print_line(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}

/// Prints a value as JSON.
pub(crate) fn print_json<T: Serialize>(value: &T) {
    print_line(&serde_json::to_string_pretty(value).unwrap_or_default());
}
