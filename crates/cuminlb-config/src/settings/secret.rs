//! A secret of the settings file.

use std::fmt;

use smol_str::SmolStr;

use crate::check::TableReader;

/// The minimum length of a secret.
const MIN_LEN_BYTES: usize = 16;

/// The maximum length of a secret, which is the longest token that a node reads from a peer.
const MAX_LEN_BYTES: usize = 1_024;

/// A secret that nodes or operators share. Its `Debug` output omits the value.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(SmolStr);

impl Secret {
    /// Returns the secret as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }

    /// Returns the secret as owned text.
    pub fn into_text(self) -> SmolStr {
        self.0
    }

    /// Reads a secret. A problem with its length reports only the length.
    pub(crate) fn read(reader: &mut TableReader<'_>, key: &str) -> Option<Self> {
        let text: SmolStr = reader
            .required::<String>(key, "give a secret of 16 bytes or more")?
            .into();
        let bound = match text.len() {
            ..MIN_LEN_BYTES => format!("must have at least {MIN_LEN_BYTES} bytes"),
            MIN_LEN_BYTES..=MAX_LEN_BYTES => return Some(Self(text)),
            _ => format!("must have at most {MAX_LEN_BYTES} bytes"),
        };
        let len_text = format!("{} bytes", text.len());
        reader.reject(key, len_text, bound);
        None
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret")
    }
}
