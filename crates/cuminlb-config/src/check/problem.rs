//! A problem of a file, worded for the operator who edits it.

use smol_str::SmolStr;

/// A problem in a settings file or a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Problem {
    /// The file is not valid TOML.
    #[error("invalid TOML: {message}")]
    Syntax {
        /// The message of the TOML parser, with line and column.
        message: SmolStr,
    },
    /// A required key is missing.
    #[error("`{key}` is missing; {hint}")]
    Missing {
        /// The full path of the key.
        key: SmolStr,
        /// The instruction for adding it.
        hint: &'static str,
    },
    /// A key is unknown.
    #[error("`{key}` is not a known key; remove it or correct its name")]
    UnknownKey {
        /// The full path of the key.
        key: SmolStr,
    },
    /// A value can't be parsed, or violates a rule of its key.
    #[error("`{key}` = `{value}`: {reason}")]
    BadValue {
        /// The full path of the key.
        key: SmolStr,
        /// The value in the file.
        value: SmolStr,
        /// The reason why it is rejected.
        reason: SmolStr,
    },
    /// A value is outside the bounds of its key.
    #[error("`{key}` = `{value}`: must be {bound}")]
    OutOfBounds {
        /// The full path of the key.
        key: SmolStr,
        /// The value in the file.
        value: SmolStr,
        /// The bounds of the key.
        bound: SmolStr,
    },
    /// A value that must be unique occurs more than once.
    #[error("`{key}` = `{value}`: stands more than once; use a unique value")]
    Duplicate {
        /// The full path of the key.
        key: SmolStr,
        /// The value that occurs more than once.
        value: SmolStr,
    },
}
