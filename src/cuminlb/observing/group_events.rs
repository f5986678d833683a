//! Records members that go missing from an owned group, and when the group stops serving.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use cuminlb_events::EventKind;
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::node::{Node, OwnedGroup};

/// The last recorded state of each group that this node owns.
#[derive(Debug, Default)]
pub struct GroupEvents {
    groups: Mutex<BTreeMap<GroupId, RecordedGroup>>,
}

#[derive(Debug, Default)]
struct RecordedGroup {
    epoch: Epoch,
    serving: bool,
    has_served: bool,
    missing: BTreeSet<InstanceId>,
}

impl GroupEvents {
    /// Records each member that has gone missing since the last call, and whether the group has
    /// stopped serving.
    pub fn observe(&self, node: &Node, owned: &OwnedGroup) {
        let now = Instant::now();
        let max_age_ms = node.settings.control.proof_max_age_ms;
        let missing = missing_members(owned, now, max_age_ms);
        let serving = owned.is_serving(now, max_age_ms);
        for event in self.update(owned, missing, serving) {
            node.events.record(event);
        }
    }

    /// Removes a group that this node no longer owns.
    pub fn remove(&self, group: &GroupId) {
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        groups.remove(group);
    }

    fn update(
        &self,
        owned: &OwnedGroup,
        missing: BTreeSet<InstanceId>,
        serving: bool,
    ) -> Vec<EventKind> {
        let record = &owned.record;
        let mut groups = self.groups.lock().unwrap_or_else(PoisonError::into_inner);
        let recorded = groups.entry(record.id.clone()).or_default();
        if recorded.epoch != record.epoch {
            *recorded = RecordedGroup {
                epoch: record.epoch,
                ..RecordedGroup::default()
            };
        }
        // Until the group has served for the first time, its members are joining rather than
        // missing.
        recorded.has_served |= serving;
        if !recorded.has_served {
            return Vec::new();
        }
        let mut events: Vec<EventKind> = missing
            .difference(&recorded.missing)
            .map(|instance| EventKind::MemberMissing {
                group: record.id.clone(),
                epoch: record.epoch,
                instance: instance.clone(),
            })
            .collect();
        if recorded.serving && !serving {
            events.push(EventKind::GroupStopped {
                service: owned.service.clone(),
                group: record.id.clone(),
                epoch: record.epoch,
                reason: stop_reason(&missing),
            });
        }
        recorded.missing = missing;
        recorded.serving = serving;
        events
    }
}

fn missing_members(owned: &OwnedGroup, now: Instant, max_age_ms: Millis) -> BTreeSet<InstanceId> {
    let is_missing = |member: &&InstanceId| {
        let proof = owned.proof(member);
        proof.is_none_or(|proof| !proof.is_fresh(now, max_age_ms))
    };
    owned
        .record
        .members
        .iter()
        .filter(is_missing)
        .cloned()
        .collect()
}

fn stop_reason(missing: &BTreeSet<InstanceId>) -> SmolStr {
    match missing.first() {
        Some(first) if missing.len() == 1 => format_smolstr!("member {first} is missing"),
        Some(first) => format_smolstr!("{} members are missing, first {first}", missing.len()),
        None => "the owner could not renew its lease in time".into(),
    }
}
