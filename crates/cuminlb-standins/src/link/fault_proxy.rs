//! The TCP proxy that tests place before a server to inject network faults.

use std::net::SocketAddr;

use smol_str::ToSmolStr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

use super::LinkFault;
use crate::StandinError;

/// The maximum number of bytes that are forwarded at once.
const CHUNK_LEN_BYTES: usize = 16 << 10;

/// The current fault, and the generation of the connections that still forward data.
#[derive(Clone, Copy, Debug, Default)]
struct LinkState {
    fault: LinkFault,
    generation: u64,
}

/// A TCP proxy that forwards connections to a target address and injects faults.
#[derive(Debug)]
pub struct FaultProxy {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl FaultProxy {
    /// Starts to forward connections accepted on `listen` to `target`.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError`] if it cannot listen on the address.
    pub async fn start(listen: SocketAddr, target: SocketAddr) -> Result<Self, StandinError> {
        let bind_error = |error: std::io::Error| StandinError::Bind {
            address: listen,
            reason: error.to_smolstr(),
        };
        let listener = TcpListener::bind(listen).await.map_err(bind_error)?;
        let address = listener.local_addr().map_err(bind_error)?;
        let state = watch::Sender::default();
        let stop = CancellationToken::new();
        let task = tokio::spawn(accept(listener, target, state.subscribe(), stop.clone()));
        Ok(Self {
            address,
            state,
            stop,
            task,
        })
    }

    /// Returns the address that the proxy listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the current fault.
    pub fn set_fault(&self, fault: LinkFault) {
        self.state.send_modify(|state| state.fault = fault);
    }

    /// Permanently stops forwarding on the connections that are open now, without closing them;
    /// new connections work.
    pub fn silence_open_connections(&self) {
        self.state.send_modify(|state| state.generation += 1);
    }

    /// Closes all connections and waits until the tasks have ended.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    state: watch::Receiver<LinkState>,
    stop: CancellationToken,
) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => if let Ok((caller, _)) = accepted {
                connections.spawn(forward(caller, target, state.clone(), stop.clone()));
            },
        }
    }
    while connections.join_next().await.is_some() {}
}

/// Forwards one connection in both directions until both directions end, one fails, or the proxy
/// is cut or stopped.
async fn forward(
    caller: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
    stop: CancellationToken,
) {
    let generation = state.borrow_and_update().generation;
    let copy_both_ways = async {
        let target = TcpStream::connect(target).await?;
        let _ = (caller.set_nodelay(true), target.set_nodelay(true));
        let (caller_read, caller_write) = caller.into_split();
        let (target_read, target_write) = target.into_split();
        tokio::try_join!(
            copy(caller_read, target_write, generation, state.clone()),
            copy(target_read, caller_write, generation, state.clone()),
        )
    };
    let mut cut_state = state.clone();
    tokio::select! {
        () = stop.cancelled() => {}
        _ = cut_state.wait_for(|state| state.fault == LinkFault::Cut) => {}
        _ = copy_both_ways => {}
    }
}

/// Forwards one direction until it ends. Each chunk waits while the proxy is silent; after
/// [`FaultProxy::silence_open_connections`] nothing more is forwarded.
async fn copy(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    generation: u64,
    mut state: watch::Receiver<LinkState>,
) -> std::io::Result<()> {
    let mut chunk = vec![0; CHUNK_LEN_BYTES];
    loop {
        let len = reader.read(&mut chunk).await?;
        let may_forward =
            |state: &LinkState| state.generation == generation && state.fault != LinkFault::Silent;
        // The sender lives as long as the proxy, so a failed wait means that the proxy has ended.
        let Ok(current) = state.wait_for(may_forward).await.map(|state| *state) else {
            return Ok(());
        };
        if let LinkFault::Delayed { delay_ms } = current.fault {
            tokio::time::sleep(delay_ms.duration()).await;
        }
        if len == 0 {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk[..len]).await?;
    }
}
