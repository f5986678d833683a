//! The client side of the calls between nodes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use cuminlb_events::{Event, NodeReport};
use cuminlb_types::prelude::*;
use smol_str::{SmolStr, ToSmolStr};
use tarpc::client::RpcError;
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::sync::Mutex;

use crate::message::{
    ConfigDocument, EventsQuery, PeerStatus, RenewalResponse, SlotRelease, SlotRenewal,
    SlotRequest, SlotResponse, TableNotice,
};
use crate::open_client::OpenClient;
use crate::transport::{set_nodelay, tarpc_transport};
use crate::{CallCounts, PeerApiClient, PeerError, PeerToken};

/// The client side of the connection to one peer.
///
/// The first call opens the connection, and the next call after a failure, or after a long time without
/// calls, opens it again.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    token: PeerToken,
    timeout_ms: Millis,
    client: Mutex<Option<OpenClient<PeerApiClient>>>,
    counts: Arc<CallCounts>,
}

impl PeerLink {
    /// Creates a link without connecting; `timeout_ms` is the timeout of each call.
    pub fn new(address: SocketAddr, token: PeerToken, timeout_ms: Millis) -> Self {
        Self {
            address,
            token,
            timeout_ms,
            client: Mutex::new(None),
            counts: Arc::default(),
        }
    }

    /// Counts the calls of this link in `counts`, which other links may share.
    #[must_use]
    pub fn with_counts(mut self, counts: Arc<CallCounts>) -> Self {
        self.counts = counts;
        self
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends the status of this node and returns that of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn exchange(&self, status: PeerStatus) -> Result<PeerStatus, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.exchange(context, status).await
        })
        .await
    }

    /// Notifies the peer that the table was read.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received; the peer may still have handled the
    /// notice.
    pub async fn announce(&self, notice: TableNotice) -> Result<PeerStatus, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.announce(context, notice).await
        })
        .await
    }

    /// Requests the active configuration of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn config(&self) -> Result<Option<ConfigDocument>, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.config(context).await
        })
        .await
    }

    /// Requests a slot of a group that the peer owns.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received; the slot may still have been granted.
    pub async fn acquire_slot(&self, request: SlotRequest) -> Result<SlotResponse, PeerError> {
        let wait_ms = request.wait_ms;
        self.call(wait_ms, async |client, context| {
            client.acquire_slot(context, request).await
        })
        .await
    }

    /// Requests a slot of a group that the peer owns, for a request that is suspected of crashing
    /// groups.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received; the slot may still have been granted.
    pub async fn acquire_suspect_slot(
        &self,
        request: SlotRequest,
    ) -> Result<SlotResponse, PeerError> {
        let wait_ms = request.wait_ms;
        self.call(wait_ms, async |client, context| {
            client.acquire_suspect_slot(context, request).await
        })
        .await
    }

    /// Releases slots of groups that the peer owns.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn release_slots(&self, release: SlotRelease) -> Result<(), PeerError> {
        self.call(Millis(0), async |client, context| {
            client.release_slots(context, release).await
        })
        .await
    }

    /// Reports to the peer which slots of its groups this node holds.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn renew_slots(&self, renewal: SlotRenewal) -> Result<RenewalResponse, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.renew_slots(context, renewal).await
        })
        .await
    }

    /// Requests the newest events of the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn events(&self, query: EventsQuery) -> Result<Vec<Event>, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.events(context, query).await
        })
        .await
    }

    /// Requests the report of the peer on its own state.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] if no response was received.
    pub async fn report(&self) -> Result<NodeReport, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.report(context).await
        })
        .await
    }

    /// Runs one call. The peer may delay its response by `wait_ms`, which extends the timeout.
    async fn call<T>(
        &self,
        wait_ms: Millis,
        call: impl AsyncFnOnce(PeerApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let timeout_ms = self.timeout_ms + wait_ms;
        self.counts.record_sent();
        let client = self
            .client_within_timeout()
            .await
            .inspect_err(|_| self.counts.record_failed())?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + timeout_ms.duration();
        match call(client, context).await {
            Ok(response) => Ok(response),
            Err(error) => {
                self.counts.record_failed();
                *self.client.lock().await = None;
                Err(PeerError::NoResponse {
                    timeout_ms,
                    reason: error.to_smolstr(),
                })
            }
        }
    }

    /// Returns a client on the open connection, or connects within the timeout of one call.
    ///
    /// The timeout covers the handshake too: a paused peer accepts connections but sends nothing.
    async fn client_within_timeout(&self) -> Result<PeerApiClient, PeerError> {
        let client = tokio::time::timeout(self.timeout_ms.duration(), self.client_or_connect());
        client
            .await
            .unwrap_or_else(|_elapsed| Err(not_connected("connection attempt timed out")))
    }

    async fn client_or_connect(&self) -> Result<PeerApiClient, PeerError> {
        let mut cached = self.client.lock().await;
        if let Some(client) = cached.as_mut().and_then(OpenClient::for_call) {
            return Ok(client);
        }
        let client = self.connect().await?;
        *cached = Some(OpenClient::new(client.clone()));
        Ok(client)
    }

    async fn connect(&self) -> Result<PeerApiClient, PeerError> {
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| not_connected(error.to_smolstr()))?;
        self.token.client_handshake(&mut stream).await?;
        set_nodelay(&stream);
        let transport = tarpc_transport(stream);
        Ok(PeerApiClient::new(tarpc::client::Config::default(), transport).spawn())
    }
}

fn not_connected(reason: impl Into<SmolStr>) -> PeerError {
    PeerError::NotConnected {
        reason: reason.into(),
    }
}
