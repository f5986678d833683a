//! The error of parsing a number, shared by sizes, rates and times.

use smol_str::SmolStr;

/// The reason why a text is not a valid size, rate or time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not a {kind}")]
pub struct ParseNumberError {
    /// The expected kind of number.
    pub kind: &'static str,
    /// The text that could not be parsed.
    pub text: SmolStr,
}
