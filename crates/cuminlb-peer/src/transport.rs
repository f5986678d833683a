//! The encoding of calls between nodes: Bincode in length-delimited frames.

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Creates the transport of calls and responses on a connection after the token handshake.
pub(crate) fn tarpc_transport<S, In, Out>(stream: S) -> Transport<S, In, Out, Bincode<In, Out>>
where
    S: AsyncRead + AsyncWrite,
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}

/// Lets small packets be sent at once.
pub(crate) fn set_nodelay(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        // The connection still works, but small packets may be delayed.
        log::debug!("failed to set TCP_NODELAY on a peer connection: {error}");
    }
}
