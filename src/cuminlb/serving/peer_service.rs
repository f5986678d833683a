//! [`PeerService`].

use std::sync::Arc;

use cuminlb_events::Event;
use cuminlb_peer::{
    ConfigDocument, EventsQuery, PeerHandler, PeerStatement, SlotAnswer, SlotGrant, SlotRelease,
    SlotRequest, TableNotice,
};
use cuminlb_routing::SlotDenial;
use tokio::time::Instant;

use crate::node::Node;

/// Answers the calls of peers.
#[derive(Clone)]
pub struct PeerService {
    node: Arc<Node>,
}

impl PeerService {
    /// Answers for a node.
    pub const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }
}

impl PeerHandler for PeerService {
    fn exchange(&self, statement: PeerStatement) -> PeerStatement {
        self.node.take_statement(&statement);
        self.node.statement()
    }

    fn announce(&self, notice: TableNotice) -> PeerStatement {
        self.node.take_notice(&notice);
        self.node.statement()
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

    async fn acquire_slot(&self, request: SlotRequest) -> SlotAnswer {
        self.node.grant_slot(&request).await
    }

    fn release_slot(&self, release: SlotRelease) {
        if let Some(owned) = self.node.owned.get(&release.group) {
            owned.release(&release.request);
        }
    }

    fn events(&self, query: EventsQuery) -> Vec<Event> {
        let limit = usize::try_from(query.limit).unwrap_or(usize::MAX);
        self.node.events.select(&query.filter, limit)
    }
}

impl Node {
    /// Grants a slot of a group that this node owns, waiting for one to come free.
    ///
    /// # Errors
    ///
    /// Returns [`SlotDenial`] when this node does not own the group, the group does not serve, or
    /// no slot came free in time.
    pub async fn grant_slot(&self, request: &SlotRequest) -> SlotAnswer {
        let deadline = Instant::now() + request.wait_ms.duration();
        loop {
            let Some(owned) = self.owned.get(&request.group) else {
                let owner = self.owned.seen_owner(&request.group);
                let owner = owner.filter(|owner| owner != self.id());
                return Err(SlotDenial::NotOwner { owner });
            };
            let changed = owned.changed.notified();
            let denial = match self.try_grant(&owned, request) {
                Ok(grant) => return Ok(grant),
                Err(denial) => denial,
            };
            if denial != SlotDenial::Full
                || tokio::time::timeout_at(deadline, changed).await.is_err()
            {
                return Err(denial);
            }
        }
    }

    fn try_grant(&self, owned: &crate::node::OwnedGroup, request: &SlotRequest) -> SlotAnswer {
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
        owned.grant(
            spec,
            &request.request,
            &request.node,
            request.epoch,
            max_age_ms,
        )?;
        Ok(SlotGrant {
            epoch: owned.record.epoch,
            leader: leader.address,
        })
    }
}
