//! [`InstanceControl`].

use std::net::SocketAddr;

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{GroupOrder, InstanceReport, OrderOutcome};

/// Gives orders to instances and asks them how they are.
#[async_trait]
pub trait InstanceControl: Send + Sync + 'static {
    /// Gives an order and returns what became of it within a time limit.
    async fn order(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
        order: &GroupOrder,
        timeout_ms: Millis,
    ) -> OrderOutcome;

    /// Asks an instance for its present state; `None` when it gave none in time.
    async fn report(&self, address: SocketAddr, timeout_ms: Millis) -> Option<InstanceReport>;
}
