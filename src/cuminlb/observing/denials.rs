//! Records denied slot requests in the event log.

use cuminlb_events::DenialCause;
use cuminlb_routing::SlotDenial;
use cuminlb_types::prelude::*;

use crate::node::Node;

impl Node {
    /// Records that a group granted no slot, aggregated with other denials of the same cause.
    /// `None` means that the owner did not respond.
    pub fn record_denial(&self, service: &ServiceId, group: &GroupId, denial: Option<&SlotDenial>) {
        let cause = denial_cause(denial);
        let event = self
            .denials
            .record(service, group, cause, UnixMillis::now());
        if let Some(event) = event {
            self.events.record(event);
        }
    }

    /// Records events for the denials that were counted since their last event.
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
        Some(SlotDenial::SuspectRunning) => DenialCause::SuspectRunning,
    }
}
