//! What a request contains that could crash an instance.

use cuminlb_catalog::{RequestHead, Team};
use cuminlb_routing::{CrashCause, request_fingerprint};
use cuminlb_types::prelude::*;

/// The team in the fingerprints of requests without a key.
const NO_TEAM: &str = "none";

/// Returns what could crash an instance that responds to a request: the parts of its prompt that other
/// requests may share, and the request itself. Its fingerprint is keyed with `secret`.
pub(super) fn crash_causes(
    secret: &str,
    head: &RequestHead,
    team: Option<&Team>,
    service: &ServiceId,
    path: &str,
    body: &[u8],
) -> Vec<CrashCause> {
    let parts = head.shared_prompt_parts().iter().cloned();
    let mut causes: Vec<CrashCause> = parts.map(CrashCause::PromptPart).collect();
    let team = team
        .map(|team| team.id.clone())
        .or_else(|| NO_TEAM.parse().ok());
    if let Some(team) = team {
        let prompt = head.prompt_parts.iter().map(PromptPartId::as_str);
        let prompt = prompt.collect::<Vec<_>>().join(",");
        let content = [path.as_bytes(), b"\n", prompt.as_bytes(), b"\n", body].concat();
        let fingerprint = request_fingerprint(secret, &team, service, &content);
        causes.push(CrashCause::Request(fingerprint));
    }
    causes
}
