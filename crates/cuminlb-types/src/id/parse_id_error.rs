//! [`ParseIdError`] and the check that raises it.

use smol_str::SmolStr;

/// The longest text that an id may have, in bytes.
pub const MAX_ID_LEN_BYTES: usize = 128;

/// The reason why a text is not an id.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ParseIdError {
    /// The text is empty.
    #[error("{kind} must not be empty")]
    Empty {
        /// The kind of id that was expected.
        kind: &'static str,
    },
    /// The text is longer than [`MAX_ID_LEN_BYTES`].
    #[error("{kind} has {len_bytes} bytes; at most {MAX_ID_LEN_BYTES} are allowed")]
    TooLong {
        /// The kind of id that was expected.
        kind: &'static str,
        /// The length that was found.
        len_bytes: usize,
    },
    /// The text has a character outside letters, digits and `-_.:/`.
    #[error("{kind} `{text}` has the character {found:?}; use letters, digits and -_.:/")]
    BadCharacter {
        /// The kind of id that was expected.
        kind: &'static str,
        /// The whole text.
        text: SmolStr,
        /// The first character that is not allowed.
        found: char,
    },
}

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
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.:/".contains(c);
    match text.chars().find(|&c| !allowed(c)) {
        None => Ok(()),
        Some(found) => Err(ParseIdError::BadCharacter {
            kind,
            text: text.into(),
            found,
        }),
    }
}
