//! The boundary to the control interface of a platform's instances.

use std::net::SocketAddr;

use async_trait::async_trait;
use cuminlb_types::prelude::*;

use crate::{GroupOrder, OrderResponse, ProbeResponse};

/// Sends orders to instances and queries their state.
#[async_trait]
pub trait InstanceControl: Send + Sync + 'static {
    /// Sends an order and returns the response of the instance within `timeout_ms`.
    async fn order(
        &self,
        address: SocketAddr,
        instance: &InstanceId,
        order: &GroupOrder,
        timeout_ms: Millis,
    ) -> OrderResponse;

    /// Probes the health of an instance, which responds within `timeout_ms` unless it is silent.
    async fn probe(&self, address: SocketAddr, timeout_ms: Millis) -> ProbeResponse;
}
