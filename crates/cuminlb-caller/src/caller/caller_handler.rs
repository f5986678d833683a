//! The interface between the HTTP server for callers and the node.

use std::future::Future;

use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;

use super::{CallerRequest, CallerResponse};

/// Handles callers' requests on a node.
pub trait CallerHandler: Clone + Send + Sync + 'static {
    /// Handles a request and returns the response to it.
    fn handle(&self, request: CallerRequest) -> impl Future<Output = CallerResponse> + Send;

    /// Records a request that was refused because it could not be decoded.
    fn record_rejection(&self, request: &RequestId, refusal: &Refusal);

    /// Returns a new request id.
    fn new_request_id(&self) -> RequestId;

    /// Returns the maximum length of a request body.
    fn max_body_bytes(&self) -> ByteCount;

    /// Returns the time limit for receiving a request body.
    fn receive_timeout_ms(&self) -> Millis;

    /// Returns whether the load balancer should send requests to this node.
    fn is_ready(&self) -> bool;
}
