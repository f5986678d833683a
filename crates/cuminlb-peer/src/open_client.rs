//! The client on the open connection of a link.

use tokio::time::Instant;

use crate::link_silence::MAX_UNUSED;

/// The client on the open connection of a link.
#[derive(Debug)]
pub(crate) struct OpenClient<C> {
    client: C,
    used_at: Instant,
}

impl<C: Clone> OpenClient<C> {
    /// Creates the client on a connection that was just opened.
    pub(crate) fn new(client: C) -> Self {
        Self {
            client,
            used_at: Instant::now(),
        }
    }

    /// Returns the client for a call, unless its connection was not used for too long.
    pub(crate) fn for_call(&mut self) -> Option<C> {
        let now = Instant::now();
        if now.duration_since(self.used_at) > MAX_UNUSED {
            return None;
        }
        self.used_at = now;
        Some(self.client.clone())
    }
}
