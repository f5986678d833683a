//! The listeners of a node for requests.

use tokio::net::TcpListener;

/// The listeners for requests.
#[derive(Debug)]
pub(crate) struct RequestListeners {
    /// For callers.
    pub(crate) caller: TcpListener,
    /// For requests that other nodes have this one forward, if it does.
    pub(crate) forwarding: Option<TcpListener>,
}
