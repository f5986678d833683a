//! The shared secret that authenticates operators.

use std::fmt;

use http::HeaderMap;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

/// The shared secret that authenticates operators; its `Debug` output omits the secret.
#[derive(Clone)]
pub struct OperatorToken(SmolStr);

impl OperatorToken {
    /// Creates a token from its text in the settings.
    pub const fn new(token: SmolStr) -> Self {
        Self(token)
    }

    /// Returns whether the headers carry the token as `Authorization: Bearer TOKEN`.
    ///
    /// The comparison takes constant time.
    pub(super) fn authorizes(&self, headers: &HeaderMap) -> bool {
        let presented = headers.get(http::header::AUTHORIZATION);
        let presented = presented.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        presented.is_some_and(|presented| bool::from(presented.ct_eq(self.0.as_bytes())))
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}
