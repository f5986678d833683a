//! [`SlotClient`].

use std::sync::Arc;
use std::time::Duration;

use cuminlb_fleet::rows::GroupState;
use cuminlb_peer::SlotRequest;
use cuminlb_routing::{
    Admission, GroupChoice, GroupChooser, PrefixKey, Refusal, RefusalKind, SlotDenial,
};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use super::asked_slot::AskedSlot;
use super::caller_standing::CallerStanding;
use super::held_slot::HeldSlot;
use crate::node::{FleetView, MAX_WAIT_AT_OWNER_MS, Node};

/// The pause after no group had a slot.
const PAUSE: Duration = Duration::from_millis(20);

/// Acquires a slot for one request.
pub(super) struct SlotClient<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) admission: &'a Admission,
    pub(super) standing: &'a CallerStanding,
    pub(super) prefix: PrefixKey,
    pub(super) service: &'a ServiceId,
    /// The groups that are taken only where there is no other.
    pub(super) avoided: &'a [GroupId],
}

impl SlotClient<'_> {
    /// Waits for the request's turn, and then asks the owners of the groups for a slot, until one
    /// grants it or `deadline` has come.
    pub(super) async fn acquire(&self, deadline: Instant) -> Result<HeldSlot, Refusal> {
        let started = Instant::now();
        let queue = self.admission.queue(self.service);
        let CallerStanding { team, priority } = self.standing;
        let turn = queue.wait_turn(&team.id, team.share, *priority, deadline);
        let turn = turn.await?;
        if let Ok(slot) = tokio::time::timeout_at(deadline, self.ask_groups(deadline)).await {
            turn.served();
            return Ok(slot);
        }
        let service = self.service.clone();
        Err(queue.refuse(if self.choices().is_empty() {
            RefusalKind::NoGroup { service }
        } else {
            let waited_ms = started.elapsed().into();
            RefusalKind::NoSlot { service, waited_ms }
        }))
    }

    /// Asks one group after the other, over and over, until one grants a slot.
    async fn ask_groups(&self, deadline: Instant) -> HeldSlot {
        loop {
            let mut choices = self.preferred(self.choices());
            while let Some(choice) = self.pick(&choices) {
                if let Some(slot) = self.ask_owners(&choice, deadline).await {
                    return slot;
                }
                choices.retain(|other| other.group != choice.group);
            }
            tokio::time::sleep(PAUSE).await;
        }
    }

    fn pick(&self, choices: &[GroupChoice]) -> Option<GroupChoice> {
        let chooser = GroupChooser {
            prefix: Some(self.prefix),
        };
        chooser.choose(choices, &mut rand::rng()).cloned()
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
        let now = Instant::now();
        let view = self.node.view.borrow();
        let groups = view.groups(self.service).iter();
        groups
            .filter(|group| group.state == GroupState::Intact)
            .filter(|group| view.spec().is_some_and(|spec| spec.zone_is_in(&group.zone)))
            .map(|group| GroupChoice {
                group: group.id.clone(),
                epoch: group.epoch,
                is_near: group.zone == self.node.settings.zone,
                load: self.node.loads.load(&group.id, now),
            })
            .collect()
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
                    if let SlotDenial::Full { load } = denial {
                        let now = Instant::now();
                        self.node.loads.note_told(&choice.group, load, now);
                        self.node.owned.note_owner(&choice.group, owner);
                    }
                    self.node
                        .record_denial(self.service, &choice.group, Some(&denial));
                    debug!("group {} grants no slot: {denial}", choice.group);
                    return None;
                }
                None => self.node.record_denial(self.service, &choice.group, None),
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
        Some(answer.map(|grant| {
            let now = Instant::now();
            self.node.loads.note_told(&choice.group, grant.load, now);
            HeldSlot::new(asked, &grant)
        }))
    }
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
