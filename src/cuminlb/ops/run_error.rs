//! [`RunError`].

use std::net::SocketAddr;

use cuminlb_caller::ServeError;
use smol_str::SmolStr;

/// The reason why a node can't run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum RunError {
    /// A server can't start.
    #[error(transparent)]
    Serve(#[from] ServeError),
    /// The peer port can't be listened on.
    #[error("can't listen on {address} for peers: {reason}")]
    BindPeers {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        reason: SmolStr,
    },
    /// A task of the node panicked.
    #[error("a task of the node panicked: {reason}")]
    TaskPanicked {
        /// What the runtime reported.
        reason: SmolStr,
    },
}
