//! Records slots that were not granted.

use cuminlb_events::DenialCause;
use cuminlb_routing::SlotDenial;
use cuminlb_types::prelude::*;

use crate::node::Node;

impl Node {
    /// Records that a group granted no slot, gathered with others of the same cause; `None`
    /// stands for an owner that gave no answer.
    pub fn note_denial(&self, service: &ServiceId, group: &GroupId, denial: Option<&SlotDenial>) {
        let cause = denial_cause(denial);
        let event = self
            .denials
            .record(service, group, cause, UnixMillis::now());
        if let Some(event) = event {
            self.events.record(event);
        }
    }

    /// Records the denials that were counted and have no event yet.
    pub fn flush_denials(&self) {
        for event in self.denials.drain(UnixMillis::now()) {
            self.events.record(event);
        }
    }
}

const fn denial_cause(denial: Option<&SlotDenial>) -> DenialCause {
    match denial {
        None => DenialCause::NoAnswer,
        Some(SlotDenial::NotOwner { .. }) => DenialCause::NotOwner,
        Some(SlotDenial::NotServing) => DenialCause::NotServing,
        Some(SlotDenial::EpochChanged { .. }) => DenialCause::EpochChanged,
        Some(SlotDenial::Full { .. }) => DenialCause::Full,
        Some(SlotDenial::Recovering) => DenialCause::Recovering,
    }
}
