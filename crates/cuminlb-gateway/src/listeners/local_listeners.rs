//! The listeners of a node for all but requests.

use tokio::net::TcpListener;

/// The listeners for the load balancer, the metrics reader and the other nodes.
#[derive(Debug)]
pub(crate) struct LocalListeners {
    /// For the checks of the load balancer.
    pub(crate) ready: TcpListener,
    /// For the metrics.
    pub(crate) metrics: TcpListener,
    /// For the calls of other nodes.
    pub(crate) peer: TcpListener,
}
