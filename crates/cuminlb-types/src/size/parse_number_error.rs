//! [`ParseNumberError`].

use smol_str::SmolStr;

/// The reason why a text is not a size, a rate or a time.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not a {kind}")]
pub struct ParseNumberError {
    /// The kind of number that was expected.
    pub kind: &'static str,
    /// The text that was found.
    pub text: SmolStr,
}
