//! Refusing a request whose head is not read to its end.

use cuminlb_types::prelude::*;
use log::{debug, info};
use tokio::net::TcpStream;

use super::caller_connection::CallerConnection;
use crate::gateway::Gateway;

/// The response to such a request. It is small enough for the send buffer of any connection.
const RESPONSE: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\n\
                          connection: close\r\ncontent-length: 0\r\n\r\n";

/// Sends the refusal of a request whose head was refused, if no other response is being sent; returns
/// whether there was such a request.
pub(super) fn refuse_head(gateway: &Gateway, state: &CallerConnection, stream: &TcpStream) -> bool {
    let (refusal, received_bytes) = {
        let mut head = state.head();
        head.release();
        (head.refusal(), head.received_bytes())
    };
    let Some(refusal) = refusal else {
        return false;
    };
    gateway.metrics.heads_refused.inc();
    let can_respond = state.activity().can_send_refusal();
    let received_bytes = ByteCount(received_bytes as u64);
    info!(
        received_bytes = received_bytes.get(), requests = state.request_count(),
        responds = can_respond;
        "head of a request refused: {refusal}"
    );
    // Nothing else waits to be sent, so that the send buffer is empty.
    if can_respond && let Err(error) = stream.try_write(RESPONSE) {
        debug!("failed to refuse the head of a request: {error}");
    }
    true
}
