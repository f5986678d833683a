//! The way by which an attempt reaches its instance over another node.

use std::collections::VecDeque;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use cuminlb_peer::{ForwardOrder, ForwardOutcome};
use cuminlb_routing::{ForwarderOutcome, LinkFailure};
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use log::info;
use smol_str::format_smolstr;
use tokio::time::{Instant, timeout};

use super::next_forwarder::NextForwarder;
use super::undelimited_body::UndelimitedBody;
use crate::gateway::Gateway;
use crate::serving::Target;
use crate::upstream::{Connection, SendFailure};

/// The number of nodes that are asked to forward one attempt.
const MAX_FORWARDERS: usize = 8;

/// The time without a response after which the forwarding node is checked.
const FORWARDER_CHECK_DELAY: Duration = Duration::from_millis(400);

/// The connection to a node that forwards a request, and the nodes to ask if it can't.
#[derive(Debug)]
pub(crate) struct ForwardedLink {
    connection: Connection,
    node: NodeId,
    others: VecDeque<NodeId>,
    target: Target,
}

impl ForwardedLink {
    /// Connects to a node that may forward a request.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure::NoForwarder`] if there is none.
    pub(super) async fn open(
        gateway: &Arc<Gateway>,
        target: &Target,
        request: &RequestId,
    ) -> Result<Self, SendFailure> {
        let mut others: VecDeque<NodeId> = gateway.fit_forwarders().into();
        others.truncate(MAX_FORWARDERS);
        let (connection, node) = connect_next(gateway, &mut others, request).await?;
        Ok(Self {
            connection,
            node,
            others,
            target: target.clone(),
        })
    }

    pub(super) const fn node(&self) -> &NodeId {
        &self.node
    }

    pub(super) const fn connection(&self) -> &Connection {
        &self.connection
    }

    pub(super) fn into_connection(self) -> Connection {
        self.connection
    }

    /// Has a request forwarded, by the next node if one can't.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if no response of the instance was received.
    pub(super) async fn send(
        &mut self,
        gateway: &Arc<Gateway>,
        order: &ForwardOrder,
        mut request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        write_order(order, &mut request)?;
        loop {
            let sent = self
                .send_once(gateway, &order.request, request.clone())
                .await;
            let outcome = self.evaluate(gateway, &order.request, sent);
            let next = match outcome {
                Ok(response) => return Ok(response),
                Err(NextForwarder::GiveUp(failure)) => return Err(failure),
                Err(NextForwarder::Ask) => {
                    connect_next(gateway, &mut self.others, &order.request).await?
                }
            };
            (self.connection, self.node) = next;
        }
    }

    /// Sends a request to the node, and checks the node if it does not respond for a while.
    async fn send_once(
        &mut self,
        gateway: &Arc<Gateway>,
        id: &RequestId,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        let node = self.node.clone();
        let mut response = pin!(self.connection.send(id, request));
        loop {
            match timeout(FORWARDER_CHECK_DELAY, response.as_mut()).await {
                Ok(sent) => return sent,
                Err(_elapsed) => gateway.check_forwarder(&node),
            }
        }
    }

    /// Evaluates what the node has responded.
    fn evaluate(
        &self,
        gateway: &Arc<Gateway>,
        request: &RequestId,
        sent: Result<Response<Incoming>, SendFailure>,
    ) -> Result<Response<Incoming>, NextForwarder> {
        let mut response = match sent {
            Ok(response) => response,
            // The connection was idle, and its node may have closed it.
            Err(SendFailure::NotSent { .. }) => return Err(NextForwarder::Ask),
            Err(failure) => {
                self.record(gateway, ForwarderOutcome::Failed);
                return Err(NextForwarder::GiveUp(failure));
            }
        };
        let outcome = ForwardOutcome::take(response.headers_mut()).map_err(|error| {
            let reason = format_smolstr!("node {}: {error}", self.node);
            NextForwarder::GiveUp(SendFailure::NoResponse { reason })
        })?;
        self.record(gateway, forwarder_outcome(outcome));
        if outcome.is_reached() {
            gateway.metrics.forwarded.inc();
            info!(
                request:% = request, instance:% = self.target.instance, node:% = self.node,
                connection:% = self.connection.number(), exchange = self.connection.requests();
                "request forwarded"
            );
            if outcome == ForwardOutcome::ReachedUndelimited {
                response.extensions_mut().insert(UndelimitedBody);
            }
            return Ok(response);
        }
        info!(
            request:% = request, instance:% = self.target.instance, node:% = self.node,
            outcome:% = outcome;
            "request not forwarded"
        );
        Err(self.next_step(gateway, outcome))
    }

    /// Decides what follows from the outcome of a request that got no response of its instance.
    fn next_step(&self, gateway: &Arc<Gateway>, outcome: ForwardOutcome) -> NextForwarder {
        let reason = format_smolstr!("{outcome} at node {}", self.node);
        match outcome {
            ForwardOutcome::NoLinks | ForwardOutcome::UnknownInstance | ForwardOutcome::Busy => {
                NextForwarder::Ask
            }
            ForwardOutcome::Unavailable { retry_after_ms } => {
                let now = Instant::now();
                gateway
                    .retry_times
                    .record(&self.target.instance, retry_after_ms, now);
                NextForwarder::GiveUp(SendFailure::NotSent { reason })
            }
            ForwardOutcome::Leaving => {
                let Target {
                    instance,
                    incarnation,
                    ..
                } = &self.target;
                gateway.knowledge.record_leaving(instance, *incarnation);
                NextForwarder::GiveUp(SendFailure::NotSent { reason })
            }
            ForwardOutcome::NotConnected => NextForwarder::GiveUp(SendFailure::NotConnected {
                reason,
                failure: LinkFailure::Refused,
            }),
            ForwardOutcome::NotSent => NextForwarder::GiveUp(SendFailure::NotSent { reason }),
            ForwardOutcome::Reached
            | ForwardOutcome::ReachedUndelimited
            | ForwardOutcome::NoResponse => {
                NextForwarder::GiveUp(SendFailure::NoResponse { reason })
            }
        }
    }

    fn record(&self, gateway: &Gateway, outcome: ForwarderOutcome) {
        let now = Instant::now();
        gateway.forwarder_board.record(&self.node, outcome, now);
    }
}

/// Adds to a request where it is to be forwarded.
///
/// # Errors
///
/// Returns [`SendFailure::NotSent`] if an id can't be sent in a header.
fn write_order(
    order: &ForwardOrder,
    request: &mut Request<Full<Bytes>>,
) -> Result<(), SendFailure> {
    let written = order.write(request.headers_mut());
    written.map_err(|error| SendFailure::NotSent {
        reason: format_smolstr!("{error}"),
    })
}

/// Connects to the first of `nodes` that accepts a connection, and removes those that were asked.
async fn connect_next(
    gateway: &Arc<Gateway>,
    nodes: &mut VecDeque<NodeId>,
    request: &RequestId,
) -> Result<(Connection, NodeId), SendFailure> {
    while let Some(node) = nodes.pop_front() {
        if let Some(connection) = gateway.connect_forwarder(&node, request).await {
            return Ok((connection, node));
        }
    }
    Err(SendFailure::NoForwarder)
}

const fn forwarder_outcome(outcome: ForwardOutcome) -> ForwarderOutcome {
    match outcome {
        ForwardOutcome::NoLinks => ForwarderOutcome::NoLinks,
        ForwardOutcome::Busy => ForwarderOutcome::Busy,
        ForwardOutcome::Reached
        | ForwardOutcome::ReachedUndelimited
        | ForwardOutcome::UnknownInstance
        | ForwardOutcome::Leaving
        | ForwardOutcome::Unavailable { .. }
        | ForwardOutcome::NotConnected
        | ForwardOutcome::NotSent
        | ForwardOutcome::NoResponse => ForwarderOutcome::Able,
    }
}
