//! [`PeerToken`] and the handshake by which both ends show that they know it.

use std::fmt;
use std::time::Duration;

use smol_str::SmolStr;
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::PeerError;

/// The time in which the other end must show the token.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest token that is read.
const MAX_TOKEN_LEN_BYTES: usize = 1_024;

/// The secret that all nodes share; its `Debug` form does not show it.
#[derive(Clone)]
pub struct PeerToken(SmolStr);

impl PeerToken {
    /// Wraps a token from the settings.
    pub const fn new(token: SmolStr) -> Self {
        Self(token)
    }

    /// Shows the token and then checks that of the other end.
    pub(crate) async fn greet(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        within_timeout(async {
            self.show(stream).await?;
            self.check(stream).await
        })
        .await
    }

    /// Checks the token of the other end and only then shows its own.
    pub(crate) async fn answer(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        within_timeout(async {
            self.check(stream).await?;
            self.show(stream).await
        })
        .await
    }

    async fn show(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        let len = u16::try_from(self.0.len()).map_err(|_| PeerError::BadToken)?;
        stream
            .write_u16(len)
            .await
            .map_err(|_| PeerError::BadToken)?;
        stream
            .write_all(self.0.as_bytes())
            .await
            .map_err(|_| PeerError::BadToken)
    }

    async fn check(&self, stream: &mut TcpStream) -> Result<(), PeerError> {
        let len = stream.read_u16().await.map_err(|_| PeerError::BadToken)?;
        let len = usize::from(len);
        if len > MAX_TOKEN_LEN_BYTES {
            return Err(PeerError::BadToken);
        }
        let mut shown = vec![0; len];
        stream
            .read_exact(&mut shown)
            .await
            .map_err(|_| PeerError::BadToken)?;
        if bool::from(shown.ct_eq(self.0.as_bytes())) {
            Ok(())
        } else {
            Err(PeerError::BadToken)
        }
    }
}

impl fmt::Debug for PeerToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerToken")
    }
}

async fn within_timeout(
    exchange: impl Future<Output = Result<(), PeerError>>,
) -> Result<(), PeerError> {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, exchange).await {
        Ok(result) => result,
        Err(_elapsed) => Err(PeerError::BadToken),
    }
}
