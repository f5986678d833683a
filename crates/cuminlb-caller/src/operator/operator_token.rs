//! [`OperatorToken`].

use std::fmt;

use http::HeaderMap;
use smol_str::SmolStr;
use subtle::ConstantTimeEq;

/// The secret that operators show; its `Debug` form does not show it.
#[derive(Clone)]
pub struct OperatorToken(SmolStr);

impl OperatorToken {
    /// Wraps a token from the settings.
    pub const fn new(token: SmolStr) -> Self {
        Self(token)
    }

    /// Tells, in constant time, whether a call shows the token.
    pub(super) fn is_shown(&self, headers: &HeaderMap) -> bool {
        let shown = headers.get(http::header::AUTHORIZATION);
        let shown = shown.and_then(|value| value.as_bytes().strip_prefix(b"Bearer "));
        shown.is_some_and(|shown| bool::from(shown.ct_eq(self.0.as_bytes())))
    }
}

impl fmt::Debug for OperatorToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorToken")
    }
}
