//! The body of an instance's response to a request of another node.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use cuminlb_catalog::ResponseHead;
use cuminlb_routing::BudgetShare;
use cuminlb_types::prelude::*;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::upstream::{Connection, ConnectionDeadline};

/// The body of an instance's response as it is passed on. Dropping it before its end closes the
/// connection to the instance, which lets the instance know that it can stop.
#[derive(Debug, Default)]
pub(super) struct ForwardedBody {
    source: Option<Source>,
    _guards: Option<(ConnectionDeadline, BudgetShare)>,
}

/// Where the body comes from.
#[derive(Debug)]
struct Source {
    gateway: Arc<Gateway>,
    instance: InstanceId,
    body: Incoming,
    connection: Connection,
    /// How long the connection can be kept afterwards; `None` if the instance closes it.
    keep_alive_ms: Option<Option<Millis>>,
    /// Whether the body has been read as a whole.
    has_ended: bool,
}

impl ForwardedBody {
    /// Returns a body without content.
    pub(super) fn empty() -> Self {
        Self::default()
    }

    /// Returns the body of a response that arrives on a connection.
    pub(super) fn new(
        gateway: &Arc<Gateway>,
        instance: &InstanceId,
        head: &ResponseHead,
        connection: Connection,
        body: Incoming,
    ) -> Self {
        let source = Source {
            gateway: Arc::clone(gateway),
            instance: instance.clone(),
            body,
            connection,
            keep_alive_ms: (!head.closes).then_some(head.keep_alive_ms),
            has_ended: false,
        };
        Self {
            source: Some(source),
            _guards: None,
        }
    }

    /// Holds what limits the request until the body is dropped.
    pub(super) fn with_guards(mut self, deadline: ConnectionDeadline, share: BudgetShare) -> Self {
        self._guards = Some((deadline, share));
        self
    }

    /// Keeps the connection for other requests if the body has been read as a whole.
    fn finish(&mut self) {
        self._guards = None;
        let Some(source) = self.source.take() else {
            return;
        };
        if let Some(keep_alive_ms) = source.keep_alive_ms
            && (source.has_ended || source.body.is_end_stream())
        {
            let pool = &source.gateway.pool;
            pool.release(source.connection, keep_alive_ms);
        }
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let Some(source) = &mut self.source else {
            return Poll::Ready(None);
        };
        let polled = Pin::new(&mut source.body).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(_))) => {
                let links = &source.gateway.links;
                links.record_contact(&source.instance, Instant::now());
            }
            Poll::Ready(None) => {
                source.has_ended = true;
                self.finish();
            }
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        let source = self.source.as_ref();
        source.is_none_or(|source| source.body.is_end_stream())
    }

    fn size_hint(&self) -> SizeHint {
        let source = self.source.as_ref();
        source.map_or_else(|| SizeHint::with_exact(0), |source| source.body.size_hint())
    }
}

impl Drop for ForwardedBody {
    fn drop(&mut self) {
        self.finish();
    }
}
