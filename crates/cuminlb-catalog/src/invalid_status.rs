//! A status that answers no request.

/// A response has a status that answers no request. Nothing that it states is to be believed: the request
/// may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("status {0} answers no request")]
pub struct InvalidStatus(
    /// The status code.
    pub u16,
);
