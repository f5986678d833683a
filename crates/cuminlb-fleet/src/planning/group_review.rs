//! The classification of the current groups, from which a plan starts.

use std::cmp::Reverse;

use cuminlb_types::prelude::*;

use super::plan_input::PlanInput;
use super::plan_step::PlanStep;
use crate::rows::{GroupRecord, GroupState};

/// The current groups of a service, classified by what the plan does with them.
#[derive(Debug, Default)]
pub(super) struct GroupReview<'a> {
    /// The groups that serve and are kept.
    pub(super) serving: Vec<&'a GroupRecord>,
    /// The groups that would serve again after a repair.
    pub(super) broken: Vec<&'a GroupRecord>,
    /// The steps that drain or dissolve groups.
    pub(super) removals: Vec<PlanStep>,
}

impl<'a> GroupReview<'a> {
    /// Classifies the groups; groups in excess of the wanted number are drained.
    ///
    /// A group in an availability zone that is out is neither counted nor ended: its instances
    /// are of no use elsewhere, its requests in flight continue, and it is available again when
    /// the zone is back in.
    pub(super) fn of(input: &PlanInput<'a>) -> Self {
        let mut review = Self::default();
        for group in &input.roster.groups {
            review.classify(input, group);
        }
        review.drain_excess(input.replicas());
        review
    }

    fn classify(&mut self, input: &PlanInput<'_>, group: &'a GroupRecord) {
        let zone_is_in = input.fleet.zone_is_in(&group.zone);
        let wanted = group.members.len() == input.group_size()
            && input.replicas() > 0
            && input.has_zone(&group.zone);
        match &group.state {
            GroupState::Intact if !wanted => self.removals.push(drain(group)),
            GroupState::Intact if zone_is_in => self.serving.push(group),
            GroupState::Intact | GroupState::Draining => {}
            GroupState::Broken { .. } if wanted && zone_is_in => self.broken.push(group),
            GroupState::Broken { .. } | GroupState::Drained => self.removals.push(dissolve(group)),
        }
    }

    /// Drains the newest groups of the availability zones with the most groups first, which keeps
    /// the remaining groups spread over the zones.
    fn drain_excess(&mut self, replicas: usize) {
        while self.serving.len() > replicas {
            let excess = self
                .serving
                .iter()
                .enumerate()
                .max_by_key(|(_, group)| (self.groups_in(&group.zone), group.epoch));
            let Some((position, _)) = excess else { return };
            let group = self.serving.swap_remove(position);
            self.removals.push(drain(group));
        }
    }

    fn groups_in(&self, zone: &ZoneId) -> usize {
        let in_zone = self.serving.iter().filter(|group| group.zone == *zone);
        in_zone.count()
    }

    /// Returns the broken groups by fabric domain, the domains with the most broken groups first.
    /// Within a domain, the groups with the fewest missing members come first.
    pub(super) fn broken_by_domain(&self, input: &PlanInput<'_>) -> Vec<Vec<&'a GroupRecord>> {
        let mut broken = self.broken.clone();
        let missing_count = |group: &GroupRecord| {
            let members = group.members.iter();
            members
                .filter(|member| input.is_missing(group, member))
                .count()
        };
        broken
            .sort_by_cached_key(|group| (group.domain.clone(), missing_count(group), group.epoch));
        let domains = broken.chunk_by(|a, b| a.domain == b.domain);
        let mut domains: Vec<Vec<&GroupRecord>> = domains.map(<[_]>::to_vec).collect();
        domains.sort_by_key(|groups| Reverse(groups.len()));
        domains
    }
}

/// Returns the step that stops new requests to a group.
fn drain(group: &GroupRecord) -> PlanStep {
    PlanStep::Drain {
        group: group.id.clone(),
        epoch: group.epoch,
    }
}

/// Returns the step that frees the members of a group.
pub(super) fn dissolve(group: &GroupRecord) -> PlanStep {
    PlanStep::Dissolve {
        group: group.id.clone(),
        epoch: group.epoch,
    }
}
