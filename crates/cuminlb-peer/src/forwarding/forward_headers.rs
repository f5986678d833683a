//! The names of the headers between two nodes, and how they are read.

use std::str::FromStr;

use http::{HeaderMap, HeaderName};

use super::ForwardHeaderError;

pub(super) const INSTANCE: HeaderName = HeaderName::from_static("cuminlb-forward-instance");
pub(super) const INCARNATION: HeaderName = HeaderName::from_static("cuminlb-forward-incarnation");
pub(super) const REQUEST: HeaderName = HeaderName::from_static("cuminlb-forward-request");
pub(super) const REMAINING_MS: HeaderName = HeaderName::from_static("cuminlb-forward-remaining-ms");
pub(super) const OUTCOME: HeaderName = HeaderName::from_static("cuminlb-forward-outcome");
pub(super) const RETRY_AFTER_MS: HeaderName =
    HeaderName::from_static("cuminlb-forward-retry-after-ms");

/// Removes a header and parses its value.
///
/// # Errors
///
/// Returns [`ForwardHeaderError`] if the header is missing or malformed.
pub(super) fn take_header<T: FromStr>(
    headers: &mut HeaderMap,
    name: HeaderName,
) -> Result<T, ForwardHeaderError> {
    let value = headers.remove(&name);
    let parsed = value.and_then(|value| value.to_str().ok()?.parse().ok());
    parsed.ok_or(ForwardHeaderError { name })
}
