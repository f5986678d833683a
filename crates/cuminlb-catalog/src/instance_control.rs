//! The boundary to the control interface of a platform's instances.

use std::net::SocketAddr;

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{GroupOrder, InstanceReport, OrderOutcome};

/// Sends orders to instances and queries their state.
#[async_trait]
pub trait InstanceControl: Send + Sync + 'static {
    /// Sends an order and returns its outcome within `timeout_ms`.
    async fn order(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
        order: &GroupOrder,
        timeout_ms: Millis,
    ) -> OrderOutcome;

    /// Queries the current state of an instance. Returns `None` if no valid report arrives within
    /// `timeout_ms`.
    async fn report(&self, address: SocketAddr, timeout_ms: Millis) -> Option<InstanceReport>;
}
