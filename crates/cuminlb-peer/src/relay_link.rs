//! [`RelayLink`].

use std::net::SocketAddr;
use std::time::Instant;

use cuminlb_catalog::StoreTable;
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::message::{RelayedRows, SuspicionNotice};
use crate::relay_api::RelayApiClient;
use crate::transport::tarpc_transport;
use crate::{PeerError, PeerToken};

/// The client's end of the conversation with a peer that follows the store as well.
///
/// The connection is opened by the first call and opened again by the next call after a failure.
#[derive(Debug)]
pub struct RelayLink {
    address: SocketAddr,
    token: PeerToken,
    timeout_ms: Millis,
    client: Mutex<Option<RelayApiClient>>,
}

impl RelayLink {
    /// Prepares a link; each call may take `timeout_ms`.
    pub fn new(address: SocketAddr, token: PeerToken, timeout_ms: Millis) -> Self {
        Self {
            address,
            token,
            timeout_ms,
            client: Mutex::new(None),
        }
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks the peer for the rows of a table that changed after a version.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn rows_since(
        &self,
        table: StoreTable,
        after: RowVersion,
    ) -> Result<RelayedRows, PeerError> {
        let time_ms = self.timeout_ms;
        self.call(time_ms, async |client, context| {
            client.rows_since(context, table, after).await
        })
        .await
    }

    /// Asks the peer for the rows of a table that changed after a version, and lets it wait for
    /// such a row.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn await_rows(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> Result<RelayedRows, PeerError> {
        let time_ms = self.timeout_ms + wait_ms;
        self.call(time_ms, async |client, context| {
            client.await_rows(context, table, after, wait_ms).await
        })
        .await
    }

    /// Tells the peer that an instance has fallen silent.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn suspect(&self, notice: SuspicionNotice) -> Result<(), PeerError> {
        let time_ms = self.timeout_ms;
        self.call(time_ms, async |client, context| {
            client.suspect(context, notice).await
        })
        .await
    }

    async fn call<T>(
        &self,
        time_ms: Millis,
        call: impl AsyncFnOnce(RelayApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let timeout_ms = self.timeout_ms;
        let connected = tokio::time::timeout(timeout_ms.duration(), self.connected()).await;
        let client =
            connected.unwrap_or_else(|_elapsed| Err(not_connected("no connection in time")))?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + time_ms.duration();
        match call(client, context).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                *self.client.lock().await = None;
                Err(PeerError::NoAnswer {
                    timeout_ms: time_ms,
                    reason: error.to_smolstr(),
                })
            }
        }
    }

    async fn connected(&self) -> Result<RelayApiClient, PeerError> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| not_connected(error.to_smolstr()))?;
        self.token.greet(&mut stream).await?;
        let transport = tarpc_transport(stream);
        let client = RelayApiClient::new(tarpc::client::Config::default(), transport).spawn();
        *slot = Some(client.clone());
        Ok(client)
    }
}

fn not_connected(reason: impl Into<SmolStr>) -> PeerError {
    PeerError::NotConnected {
        reason: reason.into(),
    }
}
