//! [`StandinError`].

use std::net::SocketAddr;

use smol_str::SmolStr;

/// The reason why a stand-in can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum StandinError {
    /// The address can't be listened on.
    #[error("can't listen on {address}: {reason}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        reason: SmolStr,
    },
}
