//! The error of starting a stand-in server or a fault-injecting link.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// The reason why a stand-in failed to start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StandinError {
    /// Binding the listening socket failed.
    #[error("cannot listen on {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        reason: SmolStr,
    },
}
