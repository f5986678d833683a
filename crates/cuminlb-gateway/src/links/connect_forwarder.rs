//! Connections to the nodes that may forward requests of this one.

use std::sync::Arc;

use cuminlb_routing::{ForwarderCandidate, ForwarderOutcome};
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::serving::Target;
use crate::upstream::{Connection, SendFailure};

impl Gateway {
    /// Returns the nodes that may forward requests, in the order in which they should be asked.
    pub(crate) fn fit_forwarders(&self) -> Vec<NodeId> {
        let candidates = self.other_nodes();
        let now = Instant::now();
        self.forwarder_board
            .order(candidates, now, &mut rand::rng())
    }

    /// Returns the other nodes that forward requests.
    pub(super) fn other_nodes(&self) -> Vec<ForwarderCandidate> {
        let nodes = &self.knowledge.directory().nodes;
        let others = nodes
            .iter()
            .filter(|(node, row)| **node != self.settings.id && row.forwarding.is_some());
        let candidates = others.map(|(node, row)| ForwarderCandidate {
            node: node.clone(),
            is_same_zone: row.zone == self.settings.zone,
        });
        candidates.collect()
    }

    /// Returns whether a request may reach instances at all: by this node's links, or over a node that
    /// has not said lately that it can't forward any.
    pub(crate) fn has_way_to_instances(&self) -> bool {
        self.links.lost_since().is_none() || !self.fit_forwarders().is_empty()
    }

    /// Connects to a node that may forward a request; `None` if it can't be reached.
    pub(super) async fn connect_forwarder(
        &self,
        node: &NodeId,
        request: &RequestId,
    ) -> Option<Connection> {
        let address = self.knowledge.directory().nodes.get(node)?.forwarding?;
        match self.forwarders.connect(address, request).await {
            Ok(connection) => Some(connection),
            Err(failure) => {
                info!(node:% = node; "failed to connect to a node for forwarding: {failure}");
                let now = Instant::now();
                self.forwarder_board
                    .record(node, ForwarderOutcome::Failed, now);
                None
            }
        }
    }

    /// Checks in the background whether a node that forwards a request accepts connections. If it does
    /// not, it is not asked again for a while.
    pub(crate) fn check_forwarder(self: &Arc<Self>, node: &NodeId) {
        let directory = self.knowledge.directory();
        let address = directory.nodes.get(node).and_then(|row| row.forwarding);
        let Some(address) = address else {
            return;
        };
        if !self.forwarder_board.begin_check(node, Instant::now()) {
            return;
        }
        let (gateway, node) = (Arc::clone(self), node.clone());
        self.background_tasks.spawn(async move {
            match gateway.forwarders.connect_new(address).await {
                Ok(connection) => gateway.forwarders.release(connection, None),
                Err(failure) => {
                    info!(node:% = node; "a node that forwards a request is silent: {failure}");
                    let (now, outcome) = (Instant::now(), ForwarderOutcome::Failed);
                    gateway.forwarder_board.record(&node, outcome, now);
                    gateway.forwarders.close_idle(address);
                }
            }
        });
    }

    /// Returns an idle connection to an instance that may carry a request, or opens a new one.
    pub(super) async fn connect_directly(
        &self,
        target: &Target,
        request: &RequestId,
    ) -> Result<Connection, SendFailure> {
        if let Some(connection) = self.pool.take_idle(target.address, request) {
            return Ok(connection);
        }
        let connection = self.pool.connect_new(target.address).await?;
        self.record_opened(&target.instance);
        Ok(connection)
    }
}
