//! The error of a caller's request whose credentials do not allow it.

/// The reason why the credentials of a caller's request do not allow it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum AuthenticationError {
    /// The route needs a key, and the request has none.
    #[error("the request has no key")]
    MissingKey,
    /// The request has credentials, but they are the key of no team.
    #[error("the credentials are the key of no team")]
    UnknownKey,
}
