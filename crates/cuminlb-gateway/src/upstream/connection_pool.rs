//! [`ConnectionPool`].

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use cuminlb_types::prelude::*;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use log::debug;
use prometheus_client::metrics::counter::Counter;
use smol_str::{SmolStr, ToSmolStr};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};
use tokio_util::task::TaskTracker;

use super::{Connection, SendFailure};

/// The time in which a connection must open.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// How long an unused connection is kept where the instance names no time.
const DEFAULT_KEEP_MS: Millis = Millis(4_000);

/// The part of the time named by the instance that is used, as its clock started earlier.
const KEEP_PART: f64 = 0.6;

/// Keeps unused connections to instances.
#[derive(Debug)]
pub(crate) struct ConnectionPool {
    tasks: TaskTracker,
    opened: Counter,
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    until: Instant,
}

impl ConnectionPool {
    pub(crate) fn new(tasks: TaskTracker, opened: Counter) -> Self {
        Self {
            tasks,
            opened,
            idle: Mutex::default(),
        }
    }

    /// Returns an unused connection, or opens one.
    pub(crate) async fn connect(&self, address: SocketAddr) -> Result<Connection, SendFailure> {
        if let Some(connection) = self.take_idle(address) {
            return Ok(connection);
        }
        match timeout(CONNECT_TIMEOUT, self.open(address)).await {
            Ok(Ok(connection)) => Ok(connection),
            Ok(Err(reason)) => Err(SendFailure::NotSent { reason }),
            Err(_elapsed) => Err(SendFailure::NotSent {
                reason: "no connection in time".into(),
            }),
        }
    }

    /// Takes back a connection whose answer has been read to its end.
    pub(crate) fn release(&self, connection: Connection, keep_ms: Option<Millis>) {
        if connection.sender.is_closed() {
            return;
        }
        let keep = keep_ms.unwrap_or(DEFAULT_KEEP_MS).duration();
        let until = Instant::now() + keep.mul_f64(KEEP_PART);
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(connection.address).or_default();
        kept.push(IdleConnection { connection, until });
    }

    /// Closes connections that were unused for too long, and those to addresses without use.
    pub(crate) fn close_old(&self, now: Instant) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|_, kept| {
            kept.retain(|it| it.until > now && !it.connection.sender.is_closed());
            !kept.is_empty()
        });
    }

    /// Closes the unused connections to an instance that has fallen silent.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.get_mut(&address)?;
        kept.retain(|it| it.until > now && !it.connection.sender.is_closed());
        let newest_ready = kept
            .iter()
            .rposition(|it| it.connection.sender.is_ready())?;
        Some(kept.swap_remove(newest_ready).connection)
    }

    async fn open(&self, address: SocketAddr) -> Result<Connection, SmolStr> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|error| error.to_smolstr())?;
        stream
            .set_nodelay(true)
            .map_err(|error| error.to_smolstr())?;
        let (mut sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| error.to_smolstr())?;
        self.opened.inc();
        self.tasks.spawn(async move {
            if let Err(error) = driver.await {
                debug!(address:% = address; "a connection to an instance ended: {error}");
            }
        });
        sender.ready().await.map_err(|error| error.to_smolstr())?;
        Ok(Connection { address, sender })
    }
}
