//! The key by which callers authenticate.

use std::fmt;

use smol_str::SmolStr;

/// The secret that identifies a caller's team. Its `Debug` form does not contain the secret.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Creates a key from its text.
    pub fn new(text: impl Into<SmolStr>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}
