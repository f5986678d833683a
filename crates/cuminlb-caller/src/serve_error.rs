//! Errors at the start of an HTTP server.

use std::net::SocketAddr;

use smol_str::SmolStr;

/// The reason why a server could not start.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub enum ServeError {
    /// Binding or listening on the address failed.
    #[error("can't listen on {address}: {reason}; check whether another process uses this address")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        reason: SmolStr,
    },
}
