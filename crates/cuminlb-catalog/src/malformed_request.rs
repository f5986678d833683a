//! The error of a caller's request whose headers cannot be parsed.

use smol_str::SmolStr;

/// An error in the headers of a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum MalformedRequest {
    /// A required header is missing.
    #[error("the header {header} is missing")]
    Missing {
        /// The header.
        header: &'static str,
    },
    /// A header has an invalid value.
    #[error("the header {header} has an invalid value: `{value}`")]
    BadValue {
        /// The header.
        header: &'static str,
        /// The invalid value.
        value: SmolStr,
    },
}
