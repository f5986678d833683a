//! [`CallTarget`].

use super::ModelCall;

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallTarget {
    /// A model, by the usual chat or completion API.
    Model(ModelCall),
    /// A plain service, by the path of the request.
    Path,
}
