//! The handshake in which both ends of a connection prove that they know the [`PeerToken`].

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::PeerError;

/// The time within which both tokens must have been exchanged.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum length of a token that is read from the other end.
const MAX_TOKEN_LEN_BYTES: usize = 1_024;

/// The secret that all nodes share. Its `Debug` output omits the value.
#[derive(Clone)]
pub struct PeerToken(SmolStr);

impl PeerToken {
    /// Creates a token from the text in the settings.
    pub const fn new(token: SmolStr) -> Self {
        Self(token)
    }

    /// Sends the token, then verifies that of the server.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::HandshakeFailed`] if the server's token is wrong, or the exchange fails
    /// or times out.
    pub async fn client_handshake(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        with_timeout(async {
            self.send(stream).await?;
            self.verify(stream).await
        })
        .await
    }

    /// Verifies the token of the client, and sends its own only if that is correct.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::HandshakeFailed`] if the client's token is wrong, or the exchange fails
    /// or times out.
    pub async fn server_handshake(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        with_timeout(async {
            self.verify(stream).await?;
            self.send(stream).await
        })
        .await
    }

    async fn send(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        let len = u16::try_from(self.0.len()).map_err(|_| PeerError::HandshakeFailed)?;
        stream
            .write_u16(len)
            .await
            .map_err(|_| PeerError::HandshakeFailed)?;
        stream
            .write_all(self.0.as_bytes())
            .await
            .map_err(|_| PeerError::HandshakeFailed)
    }

    async fn verify(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        let len = stream
            .read_u16()
            .await
            .map_err(|_| PeerError::HandshakeFailed)?;
        let len = usize::from(len);
        if len > MAX_TOKEN_LEN_BYTES {
            return Err(PeerError::HandshakeFailed);
        }
        let mut received = vec![0; len];
        stream
            .read_exact(&mut received)
            .await
            .map_err(|_| PeerError::HandshakeFailed)?;
        if bool::from(received.ct_eq(self.0.as_bytes())) {
            Ok(())
        } else {
            Err(PeerError::HandshakeFailed)
        }
    }
}

impl fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerToken")
    }
}

async fn with_timeout(
    exchange: impl Future<Output = Result<(), PeerError>>,
) -> Result<(), PeerError> {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(PeerError::HandshakeFailed),
    }
}
