//! The pool of idle connections to instances, or to the nodes that forward requests to them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cuminlb_peer::PeerToken;
use cuminlb_routing::{CarriedRequests, LinkFailure};
use cuminlb_types::prelude::*;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::debug;
use prometheus_client::metrics::counter::Counter;
use smol_str::{SmolStr, ToSmolStr};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;

use super::fair_stream::FairStream;
use super::{Connection, SendFailure};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Size limit of the head of a response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// How long an idle connection is kept if the instance states no keep-alive time.
const DEFAULT_KEEP_ALIVE_MS: Millis = Millis(4_000);

/// The longest keep-alive time of an instance that is believed: one that vanishes without closing its
/// connections leaves them behind until then.
const MAX_KEEP_ALIVE_MS: Millis = Millis(30_000);

/// Fraction of the instance's keep-alive time that is used, because its timer started earlier.
const KEEP_ALIVE_FRACTION: f64 = 0.6;

/// Keeps idle connections to instances, or to the nodes that forward requests to them.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    /// What authenticates this node to other nodes, if the connections lead to those.
    token: Option<PeerToken>,
    tasks: TaskTracker,
    opened: Counter,
    refused: Counter,
    /// The number of the next connection.
    next_number: AtomicU64,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_at: Instant,
}

impl ConnectionPool {
    /// Creates an empty pool that counts the connections that it `opened` and those that were
    /// `refused`.
    pub(crate) fn new(tasks: TaskTracker, opened: Counter, refused: Counter) -> Self {
        Self {
            token: None,
            tasks,
            opened,
            refused,
            next_number: AtomicU64::new(0),
            idle: Mutex::default(),
        }
    }

    /// Makes the pool one of connections to other nodes, which are opened with a token.
    pub(crate) fn with_token(mut self, token: PeerToken) -> Self {
        self.token = Some(token);
        self
    }

    /// Returns an idle connection that may carry a request, or opens a new one.
    pub(crate) async fn connect(
        &self,
        address: SocketAddr,
        request: &RequestId,
    ) -> Result<Connection, SendFailure> {
        match self.take_idle(address, request) {
            Some(connection) => Ok(connection),
            None => self.connect_new(address).await,
        }
    }

    /// Opens a new connection, which shows that an instance accepts some.
    pub(crate) async fn connect_new(&self, address: SocketAddr) -> Result<Connection, SendFailure> {
        let opened = timeout(CONNECT_TIMEOUT, self.open(address)).await;
        let (reason, failure) = match opened {
            Ok(Ok(connection)) => return Ok(connection),
            Ok(Err(reason)) => (reason, LinkFailure::Refused),
            Err(_elapsed) => ("timed out while connecting".into(), LinkFailure::Silent),
        };
        self.refused.inc();
        Err(SendFailure::NotConnected { reason, failure })
    }

    /// Returns a connection to the pool after its response has been read completely.
    pub(crate) fn release(&self, connection: Connection, keep_alive_ms: Option<Millis>) {
        if connection.sender.is_closed() || !connection.carried.has_room() {
            return;
        }
        let keep_alive_ms = keep_alive_ms.unwrap_or(DEFAULT_KEEP_ALIVE_MS);
        let keep_alive = keep_alive_ms.min(MAX_KEEP_ALIVE_MS).duration();
        let expires_at = Instant::now() + keep_alive.mul_f64(KEEP_ALIVE_FRACTION);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.entry(connection.address).or_default();
        connections.push(IdleConnection {
            connection,
            expires_at,
        });
    }

    /// Closes connections that were idle for too long, and removes addresses without connections.
    pub(crate) fn close_expired(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, connections| {
            connections.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
            !connections.is_empty()
        });
    }

    /// Closes the idle connections to an instance that has fallen silent.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Returns an idle connection that may carry a request.
    pub(crate) fn take_idle(&self, address: SocketAddr, request: &RequestId) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle.get_mut(&address)?;
        connections.retain(|it| it.expires_at > now && !it.connection.sender.is_closed());
        let is_fit = |connection: &Connection| {
            connection.sender.is_ready() && connection.carried.may_carry(request)
        };
        let newest_fit = connections.iter().rposition(|it| is_fit(&it.connection))?;
        Some(connections.swap_remove(newest_fit).connection)
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, SmolStr> {
        let mut stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_smolstr())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_smolstr())?;
        if let Some(token) = &self.token {
            let verified = token.client_handshake(&mut stream).await;
            verified.map_err(|error| error.to_smolstr())?;
        }
        let (mut sender, driver) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(FairStream::new(stream)))
            .await
            .map_err(|error| error.to_smolstr())?;
        self.opened.inc();
        let driver = self.tasks.spawn(async move {
            if let Err(error) = driver.await {
                debug!(address:% = address; "connection to an instance failed: {error}");
            }
        });
        sender.ready().await.map_err(|error| error.to_smolstr())?;
        Ok(Connection {
            address,
            number: ConnectionNumber(self.next_number.fetch_add(1, Ordering::Relaxed)),
            sender,
            driver: driver.abort_handle(),
            tasks: self.tasks.clone(),
            carried: CarriedRequests::default(),
        })
    }
}
