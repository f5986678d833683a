//! [`MalformedRequest`].

use smol_str::SmolStr;

/// The reason why the headers of a request can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum MalformedRequest {
    /// A header that every request must have is absent.
    #[error("the header {header} is missing")]
    Missing {
        /// The header.
        header: &'static str,
    },
    /// A header has a value that can't be read.
    #[error("the header {header} can't be read: `{value}`")]
    BadValue {
        /// The header.
        header: &'static str,
        /// What was found.
        value: SmolStr,
    },
}
