//! The handshakes in progress on one port, whose number is bounded.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::{PeerError, PeerToken};

/// The maximum number of handshakes in progress on a port. It is above the number of nodes that connect
/// at once when all have restarted, and far below the descriptors of a process.
const MAX_PENDING: usize = 512;

/// The handshakes in progress on one port.
///
/// Connections that present no token may use up the descriptors of a process within the timeout of a
/// handshake. When there are too many, the oldest is closed: a node presents its token at once.
#[derive(Debug, Default)]
pub struct PendingHandshakes {
    /// Each is notified when it is to be closed; the oldest is first.
    pending: Mutex<VecDeque<Arc<Notify>>>,
}

impl PendingHandshakes {
    /// Runs the server's part of the handshake on a connection.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::HandshakeFailed`] if the client's token is wrong, the exchange fails or times
    /// out, or too many others have begun since.
    pub async fn run(&self, token: &PeerToken, stream: &mut TcpStream) -> Result<(), PeerError> {
        let closing = Arc::new(Notify::new());
        let entry = PendingEntry {
            handshakes: self,
            closing: Arc::clone(&closing),
        };
        self.add(&closing);
        let result = tokio::select! {
            biased;
            result = token.server_handshake(stream) => result,
            () = closing.notified() => Err(PeerError::HandshakeFailed),
        };
        drop(entry);
        result
    }

    fn add(&self, closing: &Arc<Notify>) {
        let mut pending = self.pending();
        if pending.len() >= MAX_PENDING
            && let Some(oldest) = pending.pop_front()
        {
            oldest.notify_one();
        }
        pending.push_back(Arc::clone(closing));
    }

    fn pending(&self) -> MutexGuard<'_, VecDeque<Arc<Notify>>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a handshake from those in progress when it is dropped.
struct PendingEntry<'a> {
    handshakes: &'a PendingHandshakes,
    closing: Arc<Notify>,
}

impl Drop for PendingEntry<'_> {
    fn drop(&mut self) {
        let mut pending = self.handshakes.pending();
        pending.retain(|closing| !Arc::ptr_eq(closing, &self.closing));
    }
}
