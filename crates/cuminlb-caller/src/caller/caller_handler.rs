//! [`CallerHandler`].

use std::future::Future;

use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;

use super::{CallerAnswer, CallerRequest};

/// What a node does with callers' requests.
pub trait CallerHandler: Clone + Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, request: CallerRequest) -> impl Future<Output = CallerAnswer> + Send;

    /// Notes a request that was refused because it can't be read.
    fn record_rejection(&self, request: &RequestId, refusal: &Refusal);

    /// Returns a new request id.
    fn new_request_id(&self) -> RequestId;

    /// Returns the largest body that is read.
    fn max_body_bytes(&self) -> ByteCount;

    /// Returns the time that a caller has for sending its request.
    fn receive_timeout_ms(&self) -> Millis;

    /// Tells whether the balancer should send requests here.
    fn is_ready(&self) -> bool;
}
