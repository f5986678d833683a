//! Chooses the group for an attempt of a request, and admits the request to the slots of its model.

use std::collections::HashMap;

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{EngineSpec, InstanceEntry};
use cuminlb_routing::{
    GroupCandidate, GroupChooser, RequestClass, SlotUsage, SlotVerdict, TeamStanding,
    Unavailability, decide_admission,
};
use cuminlb_types::prelude::*;
use log::info;

use super::choose_target::TargetSelector;
use super::target::Target;

/// The load from which on a group is chosen only if all others have as much.
const FULL_LOAD: f64 = 1.0;

/// A group that can take a request now.
struct GroupChoice<'a> {
    group: &'a GroupView,
    head: &'a InstanceEntry,
    /// How much of its slots is used; `None` if no other node has reported lately.
    usage: Option<SlotUsage>,
    candidate: GroupCandidate,
    has_recent_refusal: bool,
}

impl TargetSelector<'_> {
    /// Chooses the head of a group that serves a model.
    pub(super) fn choose_group(
        &self,
        engine: &EngineSpec,
        model: &ModelId,
        unavailability: &mut Unavailability,
    ) -> Option<Target> {
        let choices = self.available_groups(engine, model, unavailability);
        let class = match self.admit(&choices, model) {
            SlotVerdict::Send(class) => class,
            SlotVerdict::Refuse => {
                *unavailability = Unavailability::overload();
                return None;
            }
        };
        let chosen = choose(&choices)?;
        Some(Target {
            instance: chosen.head.id.clone(),
            incarnation: chosen.head.incarnation,
            address: chosen.head.address,
            group: Some((chosen.group.group.clone(), chosen.group.epoch)),
            class,
        })
    }

    /// Returns the groups of a model that can take the request now.
    fn available_groups(
        &self,
        engine: &EngineSpec,
        model: &ModelId,
        unavailability: &mut Unavailability,
    ) -> Vec<GroupChoice<'_>> {
        let groups = self.directory.groups.get(&self.service.id);
        let groups = groups.into_iter().flatten();
        let mut choices = Vec::new();
        for group in groups.filter(|group| group.shape.id == *model) {
            let Some(head) = self.available_head(group, unavailability) else {
                continue;
            };
            let load = self.gateway.loads.load(&head.id);
            let usage = self.gateway.slot_usage(&head.id, engine.slots, self.now);
            let used = usage.map_or_else(
                // Assumes that the other nodes send as much as this one.
                || {
                    let in_flight = f64::from(load.in_flight()) * self.gateway.node_count() as f64;
                    Ratio(in_flight / f64::from(engine.slots.get().max(1)))
                },
                |usage| usage.used(),
            );
            choices.push(GroupChoice {
                group,
                head,
                usage,
                candidate: GroupCandidate {
                    group: group.group.clone(),
                    epoch: group.epoch,
                    is_same_zone: head.zone == self.gateway.settings.zone,
                    load: Some(used),
                },
                has_recent_refusal: load.has_recent_refusal(self.now),
            });
        }
        choices
    }

    /// Decides whether the request may compete for the slots of the groups. A request that was sent
    /// before, or goes on with a response that the caller has in part, always may.
    fn admit(&self, choices: &[GroupChoice<'_>], model: &ModelId) -> SlotVerdict {
        if !self.gateway.live_settings().load.has_admission {
            return SlotVerdict::Send(RequestClass::Unclassified);
        }
        let is_first = self.attempts.started() == 0 && self.request.head.resume_after.is_none();
        if !is_first || choices.is_empty() {
            return SlotVerdict::Send(RequestClass::InTime);
        }
        let mut usage = SlotUsage::default();
        for choice in choices {
            match choice.usage {
                Some(of_group) => usage.add(of_group),
                // Nothing is known about the other nodes.
                None => return SlotVerdict::Send(RequestClass::InTime),
            }
        }
        let standing = self.team_standing(model, &usage);
        let request = &self.request.head.id;
        let verdict = decide_admission(&usage, standing, self.request.priority(), request);
        if verdict != SlotVerdict::Send(RequestClass::InTime) {
            self.record_verdict(verdict, standing, &usage);
        }
        verdict
    }

    /// Returns whether the team of the request uses more than its fair share of the slots.
    fn team_standing(&self, model: &ModelId, usage: &SlotUsage) -> TeamStanding {
        let Some(team) = &self.request.team else {
            return TeamStanding::Unknown;
        };
        let service = &self.service.id;
        let mut in_use: HashMap<TeamId, u32> =
            self.gateway.load_board.others_by_team(service, model);
        for (team, requests) in self.gateway.loads.by_team(service, model) {
            let sum = in_use.entry(team).or_default();
            *sum = sum.saturating_add(requests);
        }
        let own = in_use.get(&team.id).copied().unwrap_or(0);
        let in_use: Vec<f64> = in_use.into_values().map(f64::from).collect();
        TeamStanding::new(f64::from(own), &in_use, usage.slots)
    }

    fn record_verdict(&self, verdict: SlotVerdict, standing: TeamStanding, usage: &SlotUsage) {
        let metrics = &self.gateway.metrics.admission;
        match verdict {
            SlotVerdict::Send(_) => metrics.yielding.inc(),
            SlotVerdict::Refuse => metrics.overloaded.inc(),
        };
        info!(
            request:% = self.request.head.id, route:% = self.request.route.name,
            team = self.request.team.as_ref().map(|team| team.id.as_str()), standing:? = standing,
            used = usage.used().get(), backlog = usage.backlog().get(), slots = usage.slots,
            verdict:? = verdict;
            "slots are short"
        );
    }
}

/// Chooses a group. Those that are full, or have just refused a request, are chosen only if there are
/// no others.
fn choose<'a, 'b>(choices: &'b [GroupChoice<'a>]) -> Option<&'b GroupChoice<'a>> {
    let chooser = GroupChooser::default();
    let mut rng = rand::rng();
    let is_full = |choice: &GroupChoice<'_>| {
        let load = choice.candidate.load;
        load.is_some_and(|load| load.get() >= FULL_LOAD)
    };
    let ranks = [(false, false), (false, true), (true, false), (true, true)];
    ranks.into_iter().find_map(|rank| {
        let of_rank =
            |choice: &&GroupChoice<'_>| (choice.has_recent_refusal, is_full(choice)) == rank;
        let candidates: Vec<GroupCandidate> = choices
            .iter()
            .filter(of_rank)
            .map(|choice| choice.candidate.clone())
            .collect();
        let chosen = chooser.choose(&candidates, &mut rng)?;
        choices.iter().find(|choice| choice.candidate == *chosen)
    })
}
