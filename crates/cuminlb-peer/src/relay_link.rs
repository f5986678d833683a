//! The client side of the calls between nodes that follow a platform's store.

use std::net::SocketAddr;
use std::time::Instant;

use async_trait::async_trait;
use cuminlb_routing::{CrashReport, InFlightCount, SecondOpinion};
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::message::{
    ChunkRequest, GroupHealth, InstanceQuery, LoadReport, RelayedUpdate, SuspicionNotice,
    TableCursors, ValueChunk,
};
use crate::open_client::OpenClient;
use crate::relay_api::RelayApiClient;
use crate::transport::{set_nodelay, tarpc_transport};
use crate::{PeerError, PeerToken, RelayPeer};

/// The client side of the connection to one peer that follows the same store.
///
/// The first call opens the connection, and the next call after a failure, or after a long time without
/// calls, opens it again.
#[derive(Debug)]
pub struct RelayLink {
    address: SocketAddr,
    token: PeerToken,
    timeout_ms: Millis,
    connection: Mutex<Connection>,
}

/// The current connection of a link.
#[derive(Debug, Default)]
struct Connection {
    /// The number of connections opened so far, so that a late failure of an earlier connection
    /// does not close the current one.
    generation: u64,
    client: Option<OpenClient<RelayApiClient>>,
}

impl RelayLink {
    /// Creates a link without connecting; `timeout_ms` is the timeout of each call.
    pub fn new(address: SocketAddr, token: PeerToken, timeout_ms: Millis) -> Self {
        Self {
            address,
            token,
            timeout_ms,
            connection: Mutex::default(),
        }
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Reports load and returns that of the other nodes.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn exchange_loads(
        &self,
        report: LoadReport,
    ) -> Result<Vec<InFlightCount>, PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.exchange_loads(context, report).await
        })
        .await
    }

    /// Asks the peer to probe the members of a group whose head is silent, which takes it up to
    /// `wait_ms`.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn check_group(
        &self,
        notice: SuspicionNotice,
        wait_ms: Millis,
    ) -> Result<GroupHealth, PeerError> {
        self.call(wait_ms, async |client, context| {
            client.check_group(context, notice).await
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

    /// Reports crashes and returns those that the peer knows of.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn exchange_crashes(&self, report: CrashReport) -> Result<CrashReport, PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.exchange_crashes(context, report).await
        })
        .await
    }

    /// Asks the peer whether it reaches an instance.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn examine_instance(&self, query: InstanceQuery) -> Result<SecondOpinion, PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.examine_instance(context, query).await
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
        let (client, generation) =
            client.unwrap_or_else(|_elapsed| Err(not_connected("connection attempt timed out")))?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + call_timeout_ms.duration();
        match call(client, context).await {
            Ok(response) => Ok(response),
            Err(error) => {
                self.close(generation).await;
                Err(PeerError::NoResponse {
                    timeout_ms: call_timeout_ms,
                    reason: error.to_smolstr(),
                })
            }
        }
    }

    async fn client_or_connect(&self) -> Result<(RelayApiClient, u64), PeerError> {
        let mut connection = self.connection.lock().await;
        if let Some(client) = connection.client.as_mut().and_then(OpenClient::for_call) {
            return Ok((client, connection.generation));
        }
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| not_connected(error.to_smolstr()))?;
        self.token.client_handshake(&mut stream).await?;
        set_nodelay(&stream);
        let transport = tarpc_transport(stream);
        let client = RelayApiClient::new(tarpc::client::Config::default(), transport).spawn();
        connection.generation += 1;
        connection.client = Some(OpenClient::new(client.clone()));
        Ok((client, connection.generation))
    }

    /// Closes the connection with a number, unless another one has replaced it.
    async fn close(&self, generation: u64) {
        let mut connection = self.connection.lock().await;
        if connection.generation == generation {
            connection.client = None;
        }
    }
}

#[async_trait]
impl RelayPeer for RelayLink {
    async fn await_update(
        &self,
        cursors: TableCursors,
        wait_ms: Millis,
    ) -> Result<RelayedUpdate, PeerError> {
        let call_timeout_ms = self.timeout_ms + wait_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.await_update(context, cursors, wait_ms).await
        })
        .await
    }

    async fn read_chunks(&self, request: ChunkRequest) -> Result<Vec<ValueChunk>, PeerError> {
        let call_timeout_ms = self.timeout_ms;
        self.call(call_timeout_ms, async |client, context| {
            client.read_chunks(context, request).await
        })
        .await
    }
}

fn not_connected(reason: impl Into<SmolStr>) -> PeerError {
    PeerError::NotConnected {
        reason: reason.into(),
    }
}
