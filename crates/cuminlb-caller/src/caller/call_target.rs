//! The kind of service that a request addresses.

use super::ModelCall;

/// The target of a caller's request, as far as the request itself tells.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A model, addressed through the chat or completion API.
    Model(ModelCall),
    /// A plain service, addressed by the request path.
    Path,
}
