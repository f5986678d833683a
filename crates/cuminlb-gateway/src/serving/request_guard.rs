//! A guard that marks a connection as busy with a request.

use std::sync::Arc;

use tokio::time::Instant;

use super::caller_connection::CallerConnection;

/// Marks a connection as busy with a request until it is dropped.
#[derive(Debug)]
pub(super) struct RequestGuard {
    connection: Arc<CallerConnection>,
}

impl RequestGuard {
    pub(super) fn new(connection: Arc<CallerConnection>) -> Self {
        connection.activity().start_request();
        Self { connection }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.activity().end_request(Instant::now());
    }
}
