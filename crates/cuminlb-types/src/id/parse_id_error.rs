//! The validation of text ids and its error.

use smol_str::SmolStr;

/// The maximum length of a text id, in bytes.
pub const MAX_ID_LEN_BYTES: usize = 128;

/// The reason why a text is not a valid id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("{kind} must not be empty")]
    Empty {
        /// The expected kind of id.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_ID_LEN_BYTES`].
    #[error("{kind} has {len_bytes} bytes; at most {MAX_ID_LEN_BYTES} are allowed")]
    TooLong {
        /// The expected kind of id.
        kind: &'static str,
        /// The length of the text.
        len_bytes: usize,
    },
    /// The text contains a character other than ASCII letters, digits and `-_.:/`.
    #[error("{kind} `{text}` contains the character {found:?}; use letters, digits and -_.:/")]
    BadCharacter {
        /// The expected kind of id.
        kind: &'static str,
        /// The complete text.
        text: SmolStr,
        /// The first character that is not allowed.
        found: char,
    },
}

/// Checks that a text is a valid id.
///
/// # Errors
///
/// Returns [`ParseIdError`] if the text is empty, too long, or contains an invalid character.
pub(crate) fn check_id_text(kind: &'static str, text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty { kind });
    }
    if text.len() > MAX_ID_LEN_BYTES {
        return Err(ParseIdError::TooLong {
            kind,
            len_bytes: text.len(),
        });
    }
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match text.chars().find(|&c| !is_allowed(c)) {
        None => Ok(()),
        Some(found) => Err(ParseIdError::BadCharacter {
            kind,
            text: text.into(),
            found,
        }),
    }
}
