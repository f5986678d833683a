//! A guard that marks a connection as busy with a request.

use std::sync::Arc;

use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::caller_connection::CallerConnection;

/// Marks a connection as busy with a request until it is dropped, and logs if the request ends
/// without a complete response.
#[derive(Debug)]
pub(super) struct RequestGuard {
    connection: Arc<CallerConnection>,
    received_at: Instant,
    is_answered: bool,
}

impl RequestGuard {
    pub(super) fn new(connection: Arc<CallerConnection>, has_body: bool) -> Self {
        connection.start_request(has_body);
        Self {
            connection,
            received_at: Instant::now(),
            is_answered: false,
        }
    }

    /// Records that the response is complete.
    pub(super) const fn record_answered(&mut self) {
        self.is_answered = true;
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.connection.end_request();
        let request = self.connection.take_request();
        if !self.is_answered {
            let age_ms = Millis::from(self.received_at.elapsed());
            info!(
                request = request.as_ref().map(RequestId::as_str), age_ms = age_ms.get();
                "request ended without a complete response"
            );
        }
    }
}
