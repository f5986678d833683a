//! [`PlanInput`].

use cuminlb_config::{FleetSpec, ServiceSpec};
use cuminlb_types::prelude::*;

use super::Candidate;
use crate::rows::{GroupRecord, Roster};

/// What a plan for one service is made from.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The fleet file in force.
    pub fleet: &'a FleetSpec,
    /// The service.
    pub service: &'a ServiceSpec,
    /// The groups as they are now.
    pub roster: &'a Roster,
    /// The instances of the service.
    pub candidates: &'a [Candidate],
    /// The number of groups that may start to load weights now. The weight store is
    /// rate-limited, so that groups which all load at once are all ready only at the end.
    pub load_budget: usize,
}

impl PlanInput<'_> {
    /// Returns the number of members of each group.
    pub(super) fn size(&self) -> usize {
        usize::try_from(self.service.members_per_replica.get()).unwrap_or(usize::MAX)
    }

    /// Returns the number of groups that should serve.
    pub(super) fn replicas(&self) -> usize {
        usize::try_from(self.service.replicas.get()).unwrap_or(usize::MAX)
    }

    /// Tells whether the fleet file names the zone of a group at all.
    pub(super) fn names_zone(&self, zone: &ZoneId) -> bool {
        self.fleet.zones.iter().any(|named| named.id == *zone)
    }

    /// Returns an instance.
    pub(super) fn candidate(&self, instance: &InstanceId) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.instance == *instance)
    }

    /// Tells whether a member was reported missing or may no longer be in a group.
    pub(super) fn is_missing(&self, group: &GroupRecord, member: &InstanceId) -> bool {
        let usable = self
            .candidate(member)
            .is_some_and(|candidate| candidate.usable);
        group.state.missing().contains(member) || !usable
    }
}
