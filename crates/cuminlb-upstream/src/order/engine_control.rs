//! [`EngineControl`].

use std::net::SocketAddr;

use async_trait::async_trait;

use super::{EngineOrder, EngineReport, OrderError};

/// The interface by which a node watches an instance and gives it orders.
#[async_trait]
pub trait EngineControl: Send + Sync + 'static {
    /// Asks an instance for its report; a fresh report proves that the instance is up.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] when no report could be had.
    async fn report(&self, address: SocketAddr) -> Result<EngineReport, OrderError>;

    /// Gives an order and returns the state after it.
    ///
    /// # Errors
    ///
    /// Returns [`OrderError`] when the engine refused the order or no answer could be had.
    async fn order(
        &self,
        address: SocketAddr,
        order: &EngineOrder,
    ) -> Result<EngineReport, OrderError>;
}
