//! The errors that stop a node.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// Why a node on the users' platform can't run.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum GatewayError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {reason}; correct the address in the settings")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error that the operating system reported.
        reason: SmolStr,
    },
    /// A task has panicked.
    #[error("a task of the node panicked: {reason}")]
    TaskPanicked {
        /// The error of the joined task.
        reason: SmolStr,
    },
}
