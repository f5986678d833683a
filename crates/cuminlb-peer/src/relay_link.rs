//! The client side of the calls between nodes that follow a platform's store.

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

/// The client side of the connection to one peer that follows the same store.
///
/// The first call opens the connection, and the next call after a failure opens it again.
#[derive(Debug)]
pub struct RelayLink {
    address: SocketAddr,
    token: PeerToken,
    timeout_ms: Millis,
    client: Mutex<Option<RelayApiClient>>,
}

impl RelayLink {
    /// Creates a link without connecting; `timeout_ms` is the timeout of each call.
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

    /// Requests the rows of a table that changed after a version.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn rows_since(
        &self,
        table: StoreTable,
        after: RowVersion,
    ) -> Result<RelayedRows, PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.rows_since(context, table, after).await
        })
        .await
    }

    /// Requests the rows of a table that changed after a version; the peer waits up to `wait_ms`
    /// for such a row, which extends the timeout of the call.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn await_rows(
        &self,
        table: StoreTable,
        after: RowVersion,
        wait_ms: Millis,
    ) -> Result<RelayedRows, PeerError> {
        let call_timeout_ms = self.timeout_ms + wait_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.await_rows(context, table, after, wait_ms).await
        })
        .await
    }

    /// Notifies the peer that an instance has become silent.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn suspect(&self, notice: SuspicionNotice) -> Result<(), PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.suspect(context, notice).await
        })
        .await
    }

    /// Runs one call. If the link has to connect first, that has a timeout of its own, the one given
    /// to [`Self::new`], which is not part of `call_timeout_ms`.
    async fn call<T>(
        &self,
        call_timeout_ms: Millis,
        call: impl AsyncFnOnce(RelayApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let connect_timeout_ms = self.timeout_ms;
        let client =
            tokio::time::timeout(connect_timeout_ms.duration(), self.client_or_connect()).await;
        let client =
            client.unwrap_or_else(|_elapsed| Err(not_connected("connection attempt timed out")))?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + call_timeout_ms.duration();
        match call(client, context).await {
            Ok(response) => Ok(response),
            Err(error) => {
                *self.client.lock().await = None;
                Err(PeerError::NoResponse {
                    timeout_ms: call_timeout_ms,
                    reason: error.to_smolstr(),
                })
            }
        }
    }

    async fn client_or_connect(&self) -> Result<RelayApiClient, PeerError> {
        let mut cached = self.client.lock().await;
        if let Some(client) = cached.as_ref() {
            return Ok(client.clone());
        }
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| not_connected(error.to_smolstr()))?;
        self.token.client_handshake(&mut stream).await?;
        let transport = tarpc_transport(stream);
        let client = RelayApiClient::new(tarpc::client::Config::default(), transport).spawn();
        *cached = Some(client.clone());
        Ok(client)
    }
}

fn not_connected(reason: impl Into<SmolStr>) -> PeerError {
    PeerError::NotConnected {
        reason: reason.into(),
    }
}
