//! [`ApiKey`].

use std::fmt;

use smol_str::SmolStr;

/// The secret by which a caller shows its team; its `Debug` form hides it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(SmolStr);

impl ApiKey {
    /// Wraps the text of a key.
    pub fn new(text: impl Into<SmolStr>) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey")
    }
}
