//! The credentials of a caller's request.

use crate::ApiKey;

/// The credentials that a caller's request contains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Credentials {
    /// None.
    #[default]
    Missing,
    /// One key.
    Key(ApiKey),
    /// Something else than one key: another scheme, an empty key or several.
    Invalid,
}
