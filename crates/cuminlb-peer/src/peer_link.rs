//! [`PeerLink`].

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
    ConfigDocument, EventsQuery, PeerStatement, RenewalAnswer, SlotAnswer, SlotRelease,
    SlotRenewal, SlotRequest, TableNotice,
};
use crate::transport::tarpc_transport;
use crate::{CallCounts, PeerApiClient, PeerError, PeerToken};

/// The client's end of the conversation with one peer.
///
/// The connection is opened by the first call and opened again by the next call after a failure.
#[derive(Debug)]
pub struct PeerLink {
    address: SocketAddr,
    token: PeerToken,
    timeout_ms: Millis,
    client: Mutex<Option<PeerApiClient>>,
    counts: Arc<CallCounts>,
}

impl PeerLink {
    /// Prepares a link; each call may take `timeout_ms`.
    pub fn new(address: SocketAddr, token: PeerToken, timeout_ms: Millis) -> Self {
        Self {
            address,
            token,
            timeout_ms,
            client: Mutex::new(None),
            counts: Arc::default(),
        }
    }

    /// Counts the calls together with those of other links.
    #[must_use]
    pub fn counted_by(mut self, counts: Arc<CallCounts>) -> Self {
        self.counts = counts;
        self
    }

    /// Returns the address of the peer.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Exchanges statements with the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn exchange(&self, statement: PeerStatement) -> Result<PeerStatement, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.exchange(context, statement).await
        })
        .await
    }

    /// Tells the peer that the table is heard.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came; the peer may have taken the notice all the same.
    pub async fn announce(&self, notice: TableNotice) -> Result<PeerStatement, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.announce(context, notice).await
        })
        .await
    }

    /// Asks the peer for the configuration in force there.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn config(&self) -> Result<Option<ConfigDocument>, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.config(context).await
        })
        .await
    }

    /// Asks the peer for a slot.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came; the slot may be granted all the same.
    pub async fn acquire_slot(&self, request: SlotRequest) -> Result<SlotAnswer, PeerError> {
        let wait_ms = request.wait_ms;
        self.call(wait_ms, async |client, context| {
            client.acquire_slot(context, request).await
        })
        .await
    }

    /// Gives slots back to the peer.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn release_slots(&self, release: SlotRelease) -> Result<(), PeerError> {
        self.call(Millis(0), async |client, context| {
            client.release_slots(context, release).await
        })
        .await
    }

    /// Tells the peer which slots of its groups this node holds.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn renew_slots(&self, renewal: SlotRenewal) -> Result<RenewalAnswer, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.renew_slots(context, renewal).await
        })
        .await
    }

    /// Asks the peer for its newest events.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn events(&self, query: EventsQuery) -> Result<Vec<Event>, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.events(context, query).await
        })
        .await
    }

    /// Asks the peer what it reports of itself.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError`] when no answer came.
    pub async fn report(&self) -> Result<NodeReport, PeerError> {
        self.call(Millis(0), async |client, context| {
            client.report(context).await
        })
        .await
    }

    /// Runs one call; `extra_ms` is the time that the peer may take on purpose.
    async fn call<T>(
        &self,
        extra_ms: Millis,
        call: impl AsyncFnOnce(PeerApiClient, Context) -> Result<T, RpcError>,
    ) -> Result<T, PeerError> {
        let timeout_ms = self.timeout_ms + extra_ms;
        self.counts.note_sent();
        let client = self
            .connected_in_time()
            .await
            .inspect_err(|_| self.counts.note_failed())?;
        let mut context = tarpc::context::current();
        context.deadline = Instant::now() + timeout_ms.duration();
        match call(client, context).await {
            Ok(answer) => Ok(answer),
            Err(error) => {
                self.counts.note_failed();
                *self.client.lock().await = None;
                Err(PeerError::NoAnswer {
                    timeout_ms,
                    reason: error.to_smolstr(),
                })
            }
        }
    }

    /// Returns the open connection, or opens it within the time of one call. A peer that is
    /// paused accepts connections and then stays silent.
    async fn connected_in_time(&self) -> Result<PeerApiClient, PeerError> {
        let connected = tokio::time::timeout(self.timeout_ms.duration(), self.connected());
        connected
            .await
            .unwrap_or_else(|_elapsed| Err(not_connected("no connection in time")))
    }

    async fn connected(&self) -> Result<PeerApiClient, PeerError> {
        let mut slot = self.client.lock().await;
        if let Some(client) = slot.as_ref() {
            return Ok(client.clone());
        }
        let client = self.open().await?;
        *slot = Some(client.clone());
        Ok(client)
    }

    async fn open(&self) -> Result<PeerApiClient, PeerError> {
        let mut stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| not_connected(error.to_smolstr()))?;
        self.token.greet(&mut stream).await?;
        let transport = tarpc_transport(stream);
        Ok(PeerApiClient::new(tarpc::client::Config::default(), transport).spawn())
    }
}

fn not_connected(reason: impl Into<SmolStr>) -> PeerError {
    PeerError::NotConnected {
        reason: reason.into(),
    }
}
