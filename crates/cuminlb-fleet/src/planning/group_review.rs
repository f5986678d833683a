//! [`GroupReview`].

use std::cmp::Reverse;

use cuminlb_types::prelude::*;

use super::plan_input::PlanInput;
use super::plan_step::PlanStep;
use crate::rows::{GroupRecord, GroupState};

/// The present groups of a service, by what should become of them.
#[derive(Debug, Default)]
pub(super) struct GroupReview<'a> {
    /// The groups that serve and go on.
    pub(super) serving: Vec<&'a GroupRecord>,
    /// The groups that a repair would bring back.
    pub(super) broken: Vec<&'a GroupRecord>,
    /// The groups that come to an end.
    pub(super) endings: Vec<PlanStep>,
}

impl<'a> GroupReview<'a> {
    /// Sorts the groups; of more groups than are wanted, the excess ends.
    ///
    /// A group in a zone that is out neither counts nor ends: its instances are of no use
    /// elsewhere, what it has in flight goes on, and it is there when the zone returns.
    pub(super) fn of(input: &PlanInput<'a>) -> Self {
        let mut review = Self::default();
        for group in &input.roster.groups {
            review.add(input, group);
        }
        review.end_excess(input.replicas());
        review
    }

    fn add(&mut self, input: &PlanInput<'_>, group: &'a GroupRecord) {
        let zone_is_in = input.fleet.zone_is_in(&group.zone);
        let wanted = group.members.len() == input.size()
            && input.replicas() > 0
            && input.names_zone(&group.zone);
        match &group.state {
            GroupState::Intact if !wanted => self.endings.push(drain(group)),
            GroupState::Intact if zone_is_in => self.serving.push(group),
            GroupState::Intact | GroupState::Draining => {}
            GroupState::Broken { .. } if wanted && zone_is_in => self.broken.push(group),
            GroupState::Broken { .. } | GroupState::Drained => self.endings.push(dissolve(group)),
        }
    }

    /// Ends the youngest groups of the fullest zones first, which keeps the rest spread out.
    fn end_excess(&mut self, replicas: usize) {
        while self.serving.len() > replicas {
            let excess = self
                .serving
                .iter()
                .enumerate()
                .max_by_key(|(_, group)| (self.groups_in(&group.zone), group.epoch));
            let Some((at, _)) = excess else { return };
            let group = self.serving.swap_remove(at);
            self.endings.push(drain(group));
        }
    }

    fn groups_in(&self, zone: &ZoneId) -> usize {
        let in_zone = self.serving.iter().filter(|group| group.zone == *zone);
        in_zone.count()
    }

    /// Returns the broken groups of each fabric domain together, those with the fewest members
    /// to replace first.
    pub(super) fn broken_by_domain(&self, input: &PlanInput<'_>) -> Vec<Vec<&'a GroupRecord>> {
        let mut broken = self.broken.clone();
        let missing = |group: &GroupRecord| {
            let members = group.members.iter();
            members
                .filter(|member| input.is_missing(group, member))
                .count()
        };
        broken.sort_by_cached_key(|group| (group.domain.clone(), missing(group), group.epoch));
        let domains = broken.chunk_by(|a, b| a.domain == b.domain);
        let mut domains: Vec<Vec<&GroupRecord>> = domains.map(<[_]>::to_vec).collect();
        domains.sort_by_key(|groups| Reverse(groups.len()));
        domains
    }
}

/// Returns the step that lets a group take no new work.
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
