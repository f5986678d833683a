//! The error with which a node stops.

use std::net::SocketAddr;

use cuminlb_caller::ServeError;
use smol_str::SmolStr;

/// The reason why a node can't start or stopped with a failure.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A server for callers or operators can't start.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The listener for peers can't be bound.
    #[error("can't listen on {address} for peers: {reason}")]
    BindPeers {
        /// The address.
        address: SocketAddr,
        /// The error that the operating system reported.
        reason: SmolStr,
    },
    /// A task of the node panicked.
    #[error("a task of the node panicked: {reason}")]
    TaskPanicked {
        /// The error that the runtime reported.
        reason: SmolStr,
    },
}
