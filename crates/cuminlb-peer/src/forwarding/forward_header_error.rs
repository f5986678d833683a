//! The error of headers between two nodes that can't be read.

use http::HeaderName;

/// A header between two nodes is missing or malformed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("header `{name}` is missing or malformed")]
pub struct ForwardHeaderError {
    /// The header.
    pub name: HeaderName,
}
