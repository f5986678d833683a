//! Acquires slots from the owners of the groups of a service.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_fleet::rows::GroupState;
use cuminlb_peer::SlotRequest;
use cuminlb_routing::{
    AdmissionControl, GroupCandidate, GroupChooser, PrefixKey, Refusal, RefusalKind, SlotDenial,
};
use cuminlb_types::prelude::*;
use log::debug;
use tokio::time::Instant;

use super::caller_context::CallerContext;
use super::held_slot::HeldSlot;
use super::slot_request_guard::SlotRequestGuard;
use crate::node::{FleetView, MAX_WAIT_AT_OWNER_MS, Node};

/// The delay before the next attempt after no group granted a slot.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Acquires a slot for one request.
pub(super) struct SlotClient<'a> {
    pub(super) node: &'a Arc<Node>,
    pub(super) admission: &'a AdmissionControl,
    pub(super) caller: &'a CallerContext,
    pub(super) prefix: PrefixKey,
    pub(super) service: &'a ServiceId,
    /// Whether the request is suspected of crashing groups.
    pub(super) is_suspect: bool,
    /// The groups that are used only if there is no other.
    pub(super) avoided: &'a [GroupId],
}

impl SlotClient<'_> {
    /// Waits for the turn of the request, and then requests a slot from the owners of the groups,
    /// until one grants it or `deadline` is reached.
    pub(super) async fn acquire(&self, deadline: Instant) -> Result<HeldSlot, Refusal> {
        let started = Instant::now();
        let queue = self.admission.queue(self.service);
        let CallerContext { team, priority } = self.caller;
        let turn = queue.wait_turn(&team.id, team.share, *priority, deadline);
        let turn = turn.await?;
        if let Ok(slot) =
            tokio::time::timeout_at(deadline, self.request_from_groups(deadline)).await
        {
            turn.served();
            return Ok(slot);
        }
        let service = self.service.clone();
        Err(queue.refuse(if self.candidates().is_empty() {
            RefusalKind::NoGroup { service }
        } else {
            let waited_ms = started.elapsed().into();
            RefusalKind::NoSlot { service, waited_ms }
        }))
    }

    /// Requests a slot from one group after the other, repeatedly, until one grants it.
    async fn request_from_groups(&self, deadline: Instant) -> HeldSlot {
        loop {
            let mut candidates = self.without_avoided(self.candidates());
            while let Some(candidate) = self.pick(&candidates) {
                if let Some(slot) = self.request_from_owners(&candidate, deadline).await {
                    return slot;
                }
                candidates.retain(|other| other.group != candidate.group);
            }
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }

    fn pick(&self, candidates: &[GroupCandidate]) -> Option<GroupCandidate> {
        let chooser = GroupChooser {
            prefix: Some(self.prefix),
        };
        chooser.choose(candidates, &mut rand::rng()).cloned()
    }

    /// Removes the avoided groups, unless there is no other.
    fn without_avoided(&self, mut candidates: Vec<GroupCandidate>) -> Vec<GroupCandidate> {
        let is_preferred = |candidate: &GroupCandidate| !self.avoided.contains(&candidate.group);
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
        candidates
    }

    /// Returns the groups of the service that can serve: intact, in an availability zone in use.
    fn candidates(&self) -> Vec<GroupCandidate> {
        let now = Instant::now();
        let view = self.node.view.borrow();
        let groups = view.groups(self.service).iter();
        groups
            .filter(|group| group.state == GroupState::Intact)
            .filter(|group| view.spec().is_some_and(|spec| spec.zone_is_in(&group.zone)))
            .map(|group| GroupCandidate {
                group: group.id.clone(),
                epoch: group.epoch,
                is_same_zone: group.zone == self.node.settings.zone,
                load: self.node.loads.load(&group.id, now),
            })
            .collect()
    }

    /// Requests a slot from the last known owner of the group, then from the other nodes that may
    /// own it.
    async fn request_from_owners(
        &self,
        candidate: &GroupCandidate,
        deadline: Instant,
    ) -> Option<HeldSlot> {
        let view = self.node.view();
        let mut owners = owner_candidates(self.node, &view, self.service, &candidate.group);
        let mut next = 0;
        while let Some(owner) = owners.get(next).cloned() {
            next += 1;
            match self.request_from_owner(&owner, candidate, deadline).await {
                Some(Ok(slot)) => {
                    self.node.owned.record_owner(&candidate.group, owner);
                    return Some(slot);
                }
                Some(Err(SlotDenial::NotOwner { owner: hint })) => {
                    self.node.owned.remove_owner(&candidate.group);
                    owners.extend(hint.filter(|hint| !owners.contains(hint)));
                }
                Some(Err(denial)) => {
                    if let SlotDenial::Full { load } = denial {
                        let now = Instant::now();
                        self.node.loads.record_load(&candidate.group, load, now);
                        self.node.owned.record_owner(&candidate.group, owner);
                    }
                    self.node
                        .record_denial(self.service, &candidate.group, Some(&denial));
                    debug!("group {} denied a slot: {denial}", candidate.group);
                    return None;
                }
                None => self
                    .node
                    .record_denial(self.service, &candidate.group, None),
            }
        }
        None
    }

    /// Requests a slot from one node; what it grants is released unless the grant is used.
    ///
    /// Returns `None` if the node can't be reached.
    async fn request_from_owner(
        &self,
        owner: &NodeId,
        candidate: &GroupCandidate,
        deadline: Instant,
    ) -> Option<Result<HeldSlot, SlotDenial>> {
        let remaining = deadline.saturating_duration_since(Instant::now());
        let guard = SlotRequestGuard::new(self.node, owner, &candidate.group);
        let request = SlotRequest {
            slot: guard.id(),
            service: self.service.clone(),
            group: candidate.group.clone(),
            epoch: candidate.epoch,
            wait_ms: Millis::from(remaining).min(MAX_WAIT_AT_OWNER_MS),
        };
        let response = if owner == self.node.id() {
            self.node.grant_slot(&request, self.is_suspect).await
        } else {
            let link = self.node.peers.get(owner)?;
            let response = if self.is_suspect {
                link.acquire_suspect_slot(request).await
            } else {
                link.acquire_slot(request).await
            };
            match response {
                Ok(response) => response,
                Err(error) => {
                    debug!(
                        "requesting a slot of group {} from {owner} failed: {error}",
                        candidate.group
                    );
                    return None;
                }
            }
        };
        Some(response.map(|grant| {
            let now = Instant::now();
            self.node
                .loads
                .record_load(&candidate.group, grant.load, now);
            HeldSlot::new(guard, &grant)
        }))
    }
}

/// Returns the last known owner of a group, and then the other nodes in their order as owners.
fn owner_candidates(
    node: &Node,
    view: &FleetView,
    service: &ServiceId,
    group: &GroupId,
) -> Vec<NodeId> {
    let known = node.owned.known_owner(group);
    let zone = view.group(service, group).map(|record| &record.zone);
    let ranking = view.nodes().rank_owners(group, zone);
    let ranked = ranking
        .candidates()
        .iter()
        .filter(|candidate| Some(*candidate) != known.as_ref());
    known.iter().chain(ranked).cloned().collect()
}
