//! [`OpenAnswer`].

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{ChunkId, StreamError, UpstreamError};
use http::Response;
use http::header::CONTENT_TYPE;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::ToSmolStr;

use super::exchange::answer_headers;
use super::held_slot::HeldSlot;
use super::run_bounds::RunBounds;
use super::suspect_lanes::SuspectLane;
use crate::serving::claims::WholeAnswer;

/// The largest whole answer that is passed on.
const MAX_ANSWER_LEN_BYTES: usize = 64 << 20;

/// An answer whose head has come; dropping it cancels the request at the upstream.
pub(super) struct OpenAnswer {
    pub(super) response: Response<Incoming>,
    pub(super) slot: HeldSlot,
    /// Keeps other suspects of this node from the group.
    pub(super) _lane: Option<SuspectLane>,
}

impl OpenAnswer {
    /// Tells whether the answer is a stream of server-sent events.
    pub(super) fn is_stream(&self) -> bool {
        let content_type = self.response.headers().get(CONTENT_TYPE);
        content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Returns the next bytes, or `None` at the end; they may take `idle_ms`.
    pub(super) async fn next_bytes(
        &mut self,
        idle_ms: Millis,
        bounds: &RunBounds,
    ) -> Result<Option<Bytes>, UpstreamError> {
        let frame = tokio::time::timeout(idle_ms.duration(), self.response.body_mut().frame());
        let frame = bounds.within(frame).await?;
        match frame.map_err(|_| UpstreamError::IdleTimeout { idle_ms })? {
            None => Ok(None),
            Some(Ok(frame)) => Ok(Some(frame.into_data().unwrap_or_default())),
            Some(Err(error)) => Err(UpstreamError::Broken {
                reason: error.to_smolstr(),
            }),
        }
    }

    /// Reads the whole answer.
    pub(super) async fn read_whole(
        &mut self,
        idle_ms: Millis,
        bounds: &RunBounds,
    ) -> Result<WholeAnswer, UpstreamError> {
        let mut body = Vec::new();
        while let Some(bytes) = self.next_bytes(idle_ms, bounds).await? {
            body.extend_from_slice(&bytes);
            if body.len() > MAX_ANSWER_LEN_BYTES {
                let max_len_bytes = ByteCount(MAX_ANSWER_LEN_BYTES as u64);
                return Err(StreamError::EventTooLong { max_len_bytes }.into());
            }
        }
        self.slot.finish();
        Ok(WholeAnswer {
            status: self.response.status(),
            headers: answer_headers(self.response.headers()),
            body: body.into(),
        })
    }
}

/// Checks that the data of a model's answer belong to a request and not to another one.
pub(super) fn check_id(data: &[u8], request: &RequestId) -> Result<(), StreamError> {
    match ChunkId::from_data(data) {
        Some(ChunkId { id }) if id != request.as_str() => {
            Err(StreamError::RequestIdMismatch { found: id })
        }
        _ => Ok(()),
    }
}
