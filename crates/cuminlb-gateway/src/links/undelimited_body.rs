//! How the end of a response's body is known.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response;

/// Marks a forwarded response whose body ended with the connection to the instance.
#[derive(Clone, Copy, Debug)]
pub(super) struct UndelimitedBody;

/// Returns whether the body of an instance's response ends by a length or chunks, not with the
/// connection to the instance.
pub(crate) fn is_delimited(parts: &response::Parts) -> bool {
    let headers = &parts.headers;
    let states_end =
        headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    states_end && parts.extensions.get::<UndelimitedBody>().is_none()
}
