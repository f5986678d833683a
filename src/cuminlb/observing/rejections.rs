//! Records requests that were refused without a known team and service.
//!
//! Other refusals are recorded as the end of a request.

use cuminlb_events::EventKind;
use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;
use smol_str::ToSmolStr;

use crate::node::Node;

impl Node {
    /// Records that a request was refused before its team and service were known.
    pub fn record_rejection(&self, request: &RequestId, refusal: &Refusal) {
        self.events.record(EventKind::RequestRejected {
            request: request.clone(),
            code: refusal.kind.code().into(),
            reason: refusal.kind.to_smolstr(),
        });
    }
}
