//! A response whose body is still arriving, and the check that it belongs to its request.

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{ChunkId, StreamError, UpstreamError};
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::ToSmolStr;

use super::held_slot::HeldSlot;
use super::run_bounds::RunBounds;
use super::suspect_isolation::IsolationGuard;
use super::upstream_request::response_headers;
use crate::serving::claims::CompleteResponse;

/// The maximum length of a response body that is buffered, and not streamed.
const MAX_RESPONSE_LEN_BYTES: usize = 64 << 20;

/// A response whose head has arrived; dropping it cancels the request at the upstream.
pub(super) struct OpenResponse {
    pub(super) http_response: Response<Incoming>,
    pub(super) slot: HeldSlot,
    /// Keeps other suspects of this node away from the group.
    pub(super) _isolation_guard: Option<IsolationGuard>,
}

impl OpenResponse {
    /// Returns whether the response is a stream of server-sent events.
    pub(super) fn is_stream(&self) -> bool {
        let content_type = self.http_response.headers().get(CONTENT_TYPE);
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the next bytes, or `None` at the end; fails if none arrive within `idle_ms`.
    pub(super) async fn next_bytes(
        &mut self,
        idle_ms: Millis,
        bounds: &RunBounds,
    ) -> Result<Option<Bytes>, UpstreamError> {
        let frame = tokio::time::timeout(idle_ms.duration(), self.http_response.body_mut().frame());
        let frame = bounds.within(frame).await?;
        match frame.map_err(|_| UpstreamError::IdleTimeout { idle_ms })? {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) => Err(UpstreamError::Broken {
                reason: error.to_smolstr(),
            }),
        }
    }

    /// Reads the complete response, and marks the slot as finished.
    pub(super) async fn read_complete(
        &mut self,
        idle_ms: Millis,
        bounds: &RunBounds,
    ) -> Result<CompleteResponse, UpstreamError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_bytes(idle_ms, bounds).await? {
            body.extend_from_slice(&bytes);
            if body.len() > MAX_RESPONSE_LEN_BYTES {
                let max_len_bytes = ByteCount(MAX_RESPONSE_LEN_BYTES as u64);
                return Err(StreamError::EventTooLong { max_len_bytes }.into());
            }
        }
        self.slot.finish();
        Ok(CompleteResponse {
            status: self.http_response.status(),
            headers: response_headers(self.http_response.headers()),
            body: body.into(),
        })
    }
}

/// Checks that the data of a model's response does not belong to another request.
pub(super) fn check_request_id(data: &[u8], request: &RequestId) -> Result<(), StreamError> {
    match ChunkId::from_data(data) {
        Some(ChunkId { id }) if id != request.as_str() => {
            Err(StreamError::RequestIdMismatch { found: id })
        }
        _ => Ok(()),
    }
}
