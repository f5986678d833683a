//! [`UnknownWordError`].

use smol_str::SmolStr;

/// A text that is none of the words of a closed set.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("`{text}` is not known; use {expected}")]
pub struct UnknownWordError {
    /// The words of the set.
    pub expected: &'static str,
    /// The text that was found.
    pub text: SmolStr,
}
