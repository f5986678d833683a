//! Reads the priority that a caller gives to a request.

use cuminlb_routing::{Priority, Refusal, RefusalKind};
use http::HeaderMap;
use smol_str::ToSmolStr;

/// The header by which a caller orders the requests of its team.
const PRIORITY_HEADER: &str = "x-priority";

/// Returns the priority of a request.
///
/// # Errors
///
/// Returns a [`Refusal`] when the header holds another word.
pub(super) fn priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
    let Some(value) = headers.get(PRIORITY_HEADER) else {
        return Ok(Priority::default());
    };
    let text = value.to_str().unwrap_or_default();
    text.parse()
        .map_err(|error: cuminlb_types::prelude::ParseValueError| {
            let reason = error.to_smolstr();
            Refusal::not_run(RefusalKind::BadRequest {
                field: PRIORITY_HEADER,
                reason,
            })
        })
}
