//! Closing a connection whose caller still sends.

use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long the rest of what a caller sends is read and discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How much of it is discarded at most.
const MAX_DISCARDED_BYTES: u64 = 32 << 20;

/// Closes a connection for writing, reads what its caller still sends, and returns how much that was.
///
/// Closing a connection with unread bytes resets it, and a reset discards the response that the
/// caller has not read yet.
pub(super) async fn discard_rest(mut stream: TcpStream) -> std::io::Result<ByteCount> {
    stream.shutdown().await?;
    let mut rest = stream.take(MAX_DISCARDED_BYTES);
    let mut sink = tokio::io::sink();
    // An error ends the copy; what was read before counts.
    let _ = timeout(DISCARD_TIMEOUT, tokio::io::copy(&mut rest, &mut sink)).await;
    Ok(ByteCount(MAX_DISCARDED_BYTES - rest.limit()))
}
