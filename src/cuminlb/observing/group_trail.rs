//! [`GroupTrail`].

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};

use cuminlb_events::EventKind;
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::node::{Node, OwnedGroup};

/// What was last recorded about each group that this node owns.
#[derive(Debug, Default)]
pub struct GroupTrail {
    noted: Mutex<BTreeMap<GroupId, NotedGroup>>,
}

#[derive(Debug, Default)]
struct NotedGroup {
    epoch: Epoch,
    serving: bool,
    has_served: bool,
    missing: BTreeSet<InstanceId>,
}

impl GroupTrail {
    /// Records each member that has gone missing since the last call, and the end of serving.
    pub fn observe(&self, node: &Node, owned: &OwnedGroup) {
        let now = Instant::now();
        let max_age_ms = node.settings.control.proof_max_age_ms;
        let missing = missing_members(owned, now, max_age_ms);
        let serving = owned.is_serving(now, max_age_ms);
        for event in self.note(owned, missing, serving) {
            node.events.record(event);
        }
    }

    /// Forgets a group that this node no longer owns.
    pub fn forget(&self, group: &GroupId) {
        let mut noted = self.noted.lock().unwrap_or_else(PoisonError::into_inner);
        noted.remove(group);
    }

    fn note(
        &self,
        owned: &OwnedGroup,
        missing: BTreeSet<InstanceId>,
        serving: bool,
    ) -> Vec<EventKind> {
        let record = &owned.record;
        let mut noted = self.noted.lock().unwrap_or_else(PoisonError::into_inner);
        let last = noted.entry(record.id.clone()).or_default();
        if last.epoch != record.epoch {
            *last = NotedGroup {
                epoch: record.epoch,
                ..NotedGroup::default()
            };
        }
        // Until the group serves for the first time, its members are joining and not missing.
        last.has_served |= serving;
        if !last.has_served {
            return Vec::new();
        }
        let mut events: Vec<EventKind> = missing
            .difference(&last.missing)
            .map(|instance| EventKind::MemberMissing {
                group: record.id.clone(),
                epoch: record.epoch,
                instance: instance.clone(),
            })
            .collect();
        if last.serving && !serving {
            events.push(EventKind::GroupStopped {
                service: owned.service.clone(),
                group: record.id.clone(),
                epoch: record.epoch,
                reason: stop_reason(&missing),
            });
        }
        last.missing = missing;
        last.serving = serving;
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
