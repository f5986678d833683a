//! [`Problem`].

use smol_str::SmolStr;

/// One mistake in a settings file or a fleet file.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum Problem {
    /// The file is not TOML at all.
    #[error("not TOML: {message}")]
    Syntax {
        /// What the TOML parser says, with line and column.
        message: SmolStr,
    },
    /// A required key is absent.
    #[error("`{key}` is missing; {hint}")]
    Missing {
        /// The full path of the key.
        key: SmolStr,
        /// What to write there.
        hint: &'static str,
    },
    /// A key that the file may not have.
    #[error("`{key}` is not a known key; remove it or correct its name")]
    UnknownKey {
        /// The full path of the key.
        key: SmolStr,
    },
    /// A value that can't be read as what the key takes.
    #[error("`{key}` = `{value}`: {reason}")]
    BadValue {
        /// The full path of the key.
        key: SmolStr,
        /// The value that was found.
        value: SmolStr,
        /// Why it can't be read.
        reason: SmolStr,
    },
    /// A value outside the bounds of its key.
    #[error("`{key}` = `{value}`: must be {bound}")]
    OutOfBounds {
        /// The full path of the key.
        key: SmolStr,
        /// The value that was found.
        value: SmolStr,
        /// The bounds that apply.
        bound: SmolStr,
    },
    /// A name that stands twice where it must be unique.
    #[error("`{key}` = `{value}`: stands more than once; give each its own")]
    Duplicate {
        /// The full path of the key.
        key: SmolStr,
        /// The value that stands twice.
        value: SmolStr,
    },
}
