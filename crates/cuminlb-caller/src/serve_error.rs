//! [`ServeError`].

use std::net::SocketAddr;

use smol_str::SmolStr;

/// The reason why a server can't start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ServeError {
    /// The address can't be listened on.
    #[error("can't listen on {address}: {reason}; is another process there already?")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system reported.
        reason: SmolStr,
    },
}
