//! The trait that separates the control of engines from its transport.

use std::net::SocketAddr;

use async_trait::async_trait;

use super::{EngineOrder, EngineReport, OrderError};

/// The interface through which a node probes an instance and sends it orders.
#[async_trait]
pub trait EngineControl: Send + Sync + 'static {
    /// Requests the report of an instance; a fresh report proves that the instance is up.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] if no valid report was received.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError>;

    /// Sends an order and returns the report of the instance after it.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] if the engine refused the order or no valid response was received.
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<EngineReport, OrderError>;
}
