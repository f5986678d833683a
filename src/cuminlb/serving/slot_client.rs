//! [`SlotClient`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_fleet::rows::{GroupRecord, GroupState};
use cuminlb_peer::SlotRequest;
use cuminlb_routing::{GroupChoice, Refusal, RefusalKind, SlotDenial, choose_group};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use super::asked_slot::AskedSlot;
use super::held_slot::HeldSlot;
use crate::node::{FleetView, MAX_WAIT_AT_OWNER_MS, Node};

/// The pause after no group had a slot.
const PAUSE: Duration = Duration::from_millis(20);

/// The cost of leaving the zone of this node, in requests.
const ZONE_COST: f64 = 4.0;

/// Acquires a slot for one request.
pub(super) struct SlotClient<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) service: &'a ServiceId,
    /// The groups that are taken only where there is no other.
    pub(super) avoided: &'a [GroupId],
}

impl SlotClient<'_> {
    /// Asks the owners of the groups for a slot, until one grants it or `deadline` has come.
    pub(super) async fn acquire(&self, deadline: Instant) -> Result<HeldSlot, Refusal> {
        let started = Instant::now();
        let mut group_seen = false;
        loop {
            let mut choices = self.preferred(self.choices());
            group_seen |= !choices.is_empty();
            while let Some(choice) = pick(&choices) {
                if let Some(slot) = self.ask_owners(&choice, deadline).await {
                    return Ok(slot);
                }
                choices.retain(|other| other.group != choice.group);
                if Instant::now() >= deadline {
                    break;
                }
            }
            if Instant::now() + PAUSE >= deadline {
                return Err(self.refusal(group_seen, started.elapsed().into()));
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn refusal(&self, group_seen: bool, waited_ms: Millis) -> Refusal {
        let service = self.service.clone();
        Refusal::not_run(if group_seen {
            RefusalKind::NoSlot { service, waited_ms }
        } else {
            RefusalKind::NoGroup { service }
        })
    }

    /// Leaves out the groups that are avoided, unless there is no other.
    fn preferred(&self, mut choices: Vec<GroupChoice>) -> Vec<GroupChoice> {
        let is_preferred = |choice: &GroupChoice| !self.avoided.contains(&choice.group);
        if choices.iter().any(is_preferred) {
            choices.retain(is_preferred);
        }
        choices
    }

    fn choices(&self) -> Vec<GroupChoice> {
        let view = self.node.view.borrow();
        let groups = view.groups(self.service).iter();
        groups
            .filter(|group| group.state == GroupState::Intact)
            .filter(|group| view.spec().is_some_and(|spec| spec.zone_is_in(&group.zone)))
            .map(|group| self.choice(group))
            .collect()
    }

    fn choice(&self, group: &GroupRecord) -> GroupChoice {
        let is_near = group.zone == self.node.settings.zone;
        let cost = if is_near { 0.0 } else { ZONE_COST };
        GroupChoice {
            group: group.id.clone(),
            epoch: group.epoch,
            cost,
        }
    }

    /// Asks the node that was last seen as the owner, then the other candidates.
    async fn ask_owners(&self, choice: &GroupChoice, deadline: Instant) -> Option<HeldSlot> {
        let view = self.node.view();
        let mut candidates = owner_candidates(self.node, &view, self.service, &choice.group);
        let mut next = 0;
        while let Some(owner) = candidates.get(next).cloned() {
            next += 1;
            match self.ask(&owner, choice, deadline).await {
                Some(Ok(slot)) => {
                    self.node.owned.note_owner(&choice.group, owner);
                    return Some(slot);
                }
                Some(Err(SlotDenial::NotOwner { owner: hint })) => {
                    self.node.owned.forget_owner(&choice.group);
                    candidates.extend(hint.filter(|hint| !candidates.contains(hint)));
                }
                Some(Err(denial)) => {
                    self.node
                        .note_denial(self.service, &choice.group, Some(&denial));
                    debug!("group {} grants no slot: {denial}", choice.group);
                    return None;
                }
                None => self.node.note_denial(self.service, &choice.group, None),
            }
        }
        None
    }

    /// Asks one node; what it granted is given back unless the grant is used.
    async fn ask(
        &self,
        owner: &NodeId,
        choice: &GroupChoice,
        deadline: Instant,
    ) -> Option<Result<HeldSlot, SlotDenial>> {
        let left = deadline.saturating_duration_since(Instant::now());
        let asked = AskedSlot::new(self.node, owner, &choice.group);
        let request = SlotRequest {
            slot: asked.id(),
            service: self.service.clone(),
            group: choice.group.clone(),
            epoch: choice.epoch,
            wait_ms: Millis::from(left).min(MAX_WAIT_AT_OWNER_MS),
        };
        let answer = if owner == self.node.id() {
            self.node.grant_slot(&request).await
        } else {
            let link = self.node.peers.get(owner)?;
            match link.acquire_slot(request).await {
                Ok(answer) => answer,
                Err(error) => {
                    debug!("owner {owner} of group {}: {error}", choice.group);
                    return None;
                }
            }
        };
        Some(answer.map(|grant| HeldSlot::new(asked, &grant)))
    }
}

fn pick(choices: &[GroupChoice]) -> Option<GroupChoice> {
    choose_group(choices, &mut rand::rng()).cloned()
}

fn owner_candidates(
    node: &Node,
    view: &FleetView,
    service: &ServiceId,
    group: &GroupId,
) -> Vec<NodeId> {
    let seen = node.owned.seen_owner(group);
    let zone = view.group(service, group).map(|record| &record.zone);
    let ranking = view.nodes().rank_owners(group, zone);
    let ranked = ranking
        .candidates()
        .iter()
        .filter(|candidate| Some(*candidate) != seen.as_ref());
    seen.iter().chain(ranked).cloned().collect()
}
