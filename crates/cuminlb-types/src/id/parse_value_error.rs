//! The error of parsing a value that is neither an id nor a number.

use smol_str::SmolStr;

/// A text that is not one of the accepted values, or does not have the expected format.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is invalid; use {expected}")]
pub struct ParseValueError {
    /// The accepted values, or the expected format.
    pub expected: &'static str,
    /// The text that was found.
    pub text: SmolStr,
}
