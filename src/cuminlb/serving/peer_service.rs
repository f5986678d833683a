//! Handles the calls of peers: status exchange, slots and events.

use std::sync::Arc;

use cuminlb_events::{Event, NodeReport};
use cuminlb_peer::{
    ConfigDocument, EventsQuery, PeerHandler, PeerStatus, ReleasedSlot, RenewalResponse, SlotGrant,
    SlotRelease, SlotRenewal, SlotRequest, SlotResponse, TableNotice,
};
use cuminlb_routing::{SlotDenial, SlotId};
use tokio::time::Instant;

use crate::node::Node;

/// Handles the calls of peers.
#[derive(Clone)]
pub struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    /// Creates the service of a node.
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl PeerHandler for PeerService {
    fn exchange(&self, status: PeerStatus) -> PeerStatus {
        self.node.handle_status(&status);
        self.node.peer_status()
    }

    fn announce(&self, notice: TableNotice) -> PeerStatus {
        self.node.handle_table_notice(&notice);
        self.node.peer_status()
    }

    fn config(&self) -> Option<ConfigDocument> {
        let view = self.node.view.borrow();
        let config = view.config.as_ref()?;
        Some(ConfigDocument {
            version: config.version,
            row: config.row,
            text: config.body.clone(),
        })
    }

    async fn acquire_slot(&self, request: SlotRequest) -> SlotResponse {
        self.node.grant_slot(&request, false).await
    }

    async fn acquire_suspect_slot(&self, request: SlotRequest) -> SlotResponse {
        self.node.grant_slot(&request, true).await
    }

    fn release_slots(&self, release: SlotRelease) {
        let SlotRelease { holder, slots } = release;
        for ReleasedSlot { group, ticket, end } in slots {
            let holder = holder.clone();
            let slot = SlotId { holder, ticket };
            self.node.owned.release(&group, &slot, end);
        }
    }

    fn renew_slots(&self, renewal: SlotRenewal) -> RenewalResponse {
        self.node.handle_renewal(&renewal)
    }

    fn events(&self, query: EventsQuery) -> Vec<Event> {
        let limit = usize::try_from(query.limit).unwrap_or(usize::MAX);
        self.node.flush_denials();
        self.node.events.select(&query.filter, limit)
    }

    fn report(&self) -> NodeReport {
        self.node.report()
    }

    fn record_received(&self, kind: &'static str) {
        self.node.metrics.peers.record_received(kind);
    }
}

impl Node {
    /// Grants a slot of a group that this node owns, after waiting for a free one if necessary. A
    /// request that is suspected of crashing groups gets one only while no other suspect runs there.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] if this node does not own the group, the group does not serve, or no
    /// slot became free in time.
    pub async fn grant_slot(&self, request: &SlotRequest, is_suspect: bool) -> SlotResponse {
        let deadline = Instant::now() + request.wait_ms.duration();
        loop {
            let Some(owned) = self.owned.get(&request.group) else {
                let owner = self.owned.known_owner(&request.group);
                let owner = owner.filter(|owner| owner != self.id());
                return Err(SlotDenial::NotOwner { owner });
            };
            let changed = owned.changed.notified();
            let denial = match self.try_grant(&owned, request, is_suspect) {
                Ok(grant) => return Ok(grant),
                Err(denial) => denial,
            };
            let may_change = matches!(denial, SlotDenial::Full { .. } | SlotDenial::Recovering);
            if !may_change || tokio::time::timeout_at(deadline, changed).await.is_err() {
                return Err(denial);
            }
        }
    }

    fn try_grant(
        &self,
        owned: &crate::node::OwnedGroup,
        request: &SlotRequest,
        is_suspect: bool,
    ) -> SlotResponse {
        let view = self.view.borrow();
        let Some(spec) = view.service(&owned.service) else {
            return Err(SlotDenial::NotServing);
        };
        let zone_is_in = view
            .spec()
            .is_some_and(|spec| spec.zone_is_in(&owned.record.zone));
        let leader = owned
            .record
            .members
            .first()
            .and_then(|leader| view.instance(leader));
        let Some(leader) = leader.filter(|_| zone_is_in) else {
            return Err(SlotDenial::NotServing);
        };
        let max_age_ms = self.settings.control.proof_max_age_ms;
        let SlotRequest { slot, epoch, .. } = request;
        let load = owned.grant(spec, slot, *epoch, is_suspect, max_age_ms)?;
        Ok(SlotGrant {
            epoch: owned.record.epoch,
            leader: leader.address,
            load,
        })
    }

    /// Handles the renewal of the slots that a node holds at the groups that this node owns, and
    /// returns the groups that this node does not own.
    pub fn handle_renewal(&self, renewal: &SlotRenewal) -> RenewalResponse {
        let not_owned = renewal.groups.iter().filter(|renewed| {
            let (group, range) = (&renewed.group, &renewed.range);
            !self.owned.reconcile(group, &renewal.holder, range)
        });
        RenewalResponse {
            not_owned: not_owned.map(|renewed| renewed.group.clone()).collect(),
        }
    }
}
