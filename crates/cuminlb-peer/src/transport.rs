//! The encoding of calls between nodes.

use serde::{Deserialize, Serialize};
use tarpc::serde_transport::{self, Transport};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::tokio_util::codec::LengthDelimitedCodec;
use tokio::net::TcpStream;

/// Carries calls and answers over a connection whose ends have greeted each other.
pub(crate) fn tarpc_transport<In, Out>(
    stream: TcpStream,
) -> Transport<TcpStream, In, Out, Bincode<In, Out>>
where
    In: for<'de> Deserialize<'de>,
    Out: Serialize,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("a peer's connection keeps small packets back: {error}");
    }
    let framed = LengthDelimitedCodec::builder().new_framed(stream);
    serde_transport::new(framed, Bincode::default())
}
