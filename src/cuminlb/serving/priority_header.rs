//! Parses the priority that a caller assigns to a request.

use cuminlb_routing::{Priority, Refusal, RefusalKind};
use http::HeaderMap;
use smol_str::ToSmolStr;

/// The header by which a caller prioritizes among the requests of its team.
const PRIORITY_HEADER: &str = "x-priority";

/// Returns the priority of a request, or the default one if there is no header.
///
/// # Errors
///
/// Returns a [`Refusal`] if the header is not the name of a priority.
pub(super) fn parse_priority(headers: &HeaderMap) -> Result<Priority, Refusal> {
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
