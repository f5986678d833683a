//! Closing a connection whose caller still sends.

use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the rest of what a caller sends is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How much of it is discarded at most.
const MAX_DISCARDED_BYTES: u64 = 32 << 20;

/// Reads what a caller still sends on a connection that was closed for writing.
///
/// Closing a connection with unread bytes resets it, and a reset discards the response that the
/// caller has not read yet.
pub(super) async fn discard_rest(stream: TcpStream) -> std::io::Result<()> {
    let mut rest = stream.take(MAX_DISCARDED_BYTES);
    let mut sink = tokio::io::sink();
    match timeout(DISCARD_TIMEOUT, tokio::io::copy(&mut rest, &mut sink)).await {
        Ok(copied) => copied.map(|_len| ()),
        Err(_elapsed) => Ok(()),
    }
}
