//! The way by which one attempt reaches its instance.

use std::sync::Arc;

use bytes::Bytes;
use cuminlb_peer::ForwardOrder;
use cuminlb_routing::{ExchangeKind, LinkRoute, ResponseOwner};
use cuminlb_types::prelude::*;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::exchange_place::ExchangePlace;
use super::forwarded_link::ForwardedLink;
use crate::gateway::Gateway;
use crate::serving::Target;
use crate::upstream::{Connection, ConnectionDeadline, SendFailure};

/// The way by which one attempt reaches its instance.
#[derive(Debug)]
pub(crate) enum InstanceLink {
    /// A connection to the instance.
    Direct(Connection),
    /// A connection to a node that forwards the request.
    Forwarded(ForwardedLink),
}

impl InstanceLink {
    /// Opens the way to an instance for a request. If this node does not reach the instance but others
    /// may, the request will be forwarded.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if there is no way; nothing was sent.
    pub(crate) async fn open(
        gateway: &Arc<Gateway>,
        target: &Target,
        request: &RequestId,
    ) -> Result<Self, SendFailure> {
        match gateway.links.route(&target.instance) {
            LinkRoute::Direct => {
                let opened = gateway.connect_directly(target, request).await;
                let Err(failure) = opened else {
                    return opened.map(Self::Direct);
                };
                if let Some(link_failure) = failure.link_failure() {
                    gateway.judge_instance(target.query(), link_failure).await;
                }
                if gateway.links.route(&target.instance) == LinkRoute::Direct {
                    return Err(failure);
                }
            }
            LinkRoute::OpenOrForwarded => {
                if let Some(connection) = gateway.pool.take_idle(target.address, request) {
                    return Ok(Self::Direct(connection));
                }
            }
            LinkRoute::Forwarded => {}
        }
        let forwarded = ForwardedLink::open(gateway, target, request).await?;
        Ok(Self::Forwarded(forwarded))
    }

    /// Returns to which request a response belongs that follows `request` and names the id `named`. A
    /// forwarding node has checked for itself that a response belongs to the request.
    pub(crate) fn owner(&self, named: Option<&RequestId>, request: &RequestId) -> ResponseOwner {
        match self {
            Self::Direct(connection) => connection.owner(named, request),
            Self::Forwarded(_) => ResponseOwner::new(named, request, ExchangeKind::First),
        }
    }

    /// Returns where the next request goes.
    pub(crate) fn next_place(&self) -> ExchangePlace {
        let connection = match self {
            Self::Direct(connection) => connection,
            Self::Forwarded(link) => link.connection(),
        };
        ExchangePlace {
            connection: connection.number(),
            exchange: connection.requests() + 1,
            node: self.forwarder().cloned(),
        }
    }

    /// Returns the node that forwards the request.
    pub(crate) const fn forwarder(&self) -> Option<&NodeId> {
        match self {
            Self::Direct(_) => None,
            Self::Forwarded(link) => Some(link.node()),
        }
    }

    /// Sends a request and returns the head of the response.
    ///
    /// # Errors
    ///
    /// Returns [`SendFailure`] if no response was received.
    pub(crate) async fn send(
        &mut self,
        gateway: &Arc<Gateway>,
        order: &ForwardOrder,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendFailure> {
        match self {
            Self::Direct(connection) => connection.send(&order.request, request).await,
            Self::Forwarded(link) => link.send(gateway, order, request).await,
        }
    }

    /// Records that something was received from an instance by this way.
    pub(crate) fn record_contact(&self, gateway: &Gateway, id: &InstanceId, now: Instant) {
        if let Self::Direct(_) = self {
            gateway.links.record_contact(id, now);
        }
    }

    /// Closes the connection after a deadline, unless the result is dropped before.
    pub(crate) fn close_after(
        &self,
        deadline: impl Future<Output = ()> + Send + 'static,
    ) -> ConnectionDeadline {
        match self {
            Self::Direct(connection) => connection.close_after(deadline),
            Self::Forwarded(link) => link.connection().close_after(deadline),
        }
    }

    /// Keeps the connection for other requests after its response has been read completely.
    pub(crate) fn release(self, gateway: &Gateway, keep_alive_ms: Option<Millis>) {
        match self {
            Self::Direct(connection) => gateway.pool.release(connection, keep_alive_ms),
            Self::Forwarded(link) => gateway.forwarders.release(link.into_connection(), None),
        }
    }
}
