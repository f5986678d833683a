//! The input of the planner.

use cuminlb_config::{FleetSpec, ServiceSpec};
use cuminlb_types::prelude::*;

use super::Candidate;
use crate::rows::{GroupRecord, Roster};

/// The input from which the groups of one service are planned.
#[derive(Clone, Copy, Debug)]
pub struct PlanInput<'a> {
    /// The active fleet file.
    pub fleet: &'a FleetSpec,
    /// The service.
    pub service: &'a ServiceSpec,
    /// The current groups of the service.
    pub roster: &'a Roster,
    /// The instances of the service.
    pub candidates: &'a [Candidate],
    /// The number of members that may start to load weights now; the last group that starts may
    /// exceed it. The weight store is rate-limited: if all groups load at the same time, none is
    /// ready until nearly all loading is done.
    pub load_budget: usize,
}

impl PlanInput<'_> {
    /// Returns the number of members of each group.
    pub(super) fn group_size(&self) -> usize {
        usize::try_from(self.service.members_per_replica.get()).unwrap_or(usize::MAX)
    }

    /// Returns the number of groups that should serve.
    pub(super) fn replicas(&self) -> usize {
        usize::try_from(self.service.replicas.get()).unwrap_or(usize::MAX)
    }

    /// Returns whether the fleet file contains the availability zone.
    pub(super) fn has_zone(&self, zone: &ZoneId) -> bool {
        self.fleet.zones.iter().any(|spec| spec.id == *zone)
    }

    /// Returns the candidate with the given instance id.
    pub(super) fn candidate(&self, instance: &InstanceId) -> Option<&Candidate> {
        self.candidates
            .iter()
            .find(|candidate| candidate.instance == *instance)
    }

    /// Returns whether a member was reported missing or is not usable.
    pub(super) fn is_missing(&self, group: &GroupRecord, member: &InstanceId) -> bool {
        let is_usable = self
            .candidate(member)
            .is_some_and(|candidate| candidate.usable);
        group.state.missing().contains(member) || !is_usable
    }
}
