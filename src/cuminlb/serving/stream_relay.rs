//! [`StreamRelay`].

use std::collections::VecDeque;

use bytes::Bytes;
use cuminlb_caller::StreamPart;
use cuminlb_routing::{AdmissionPermit, Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{ChunkId, EventDecoder, StreamError, StreamEvent, UpstreamError};
use futures_util::stream::{BoxStream, StreamExt, unfold};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr};

use super::held_slot::HeldSlot;
use super::request_trail::RequestTrail;

/// Passes a streamed answer on, event by event, and checks that it is whole and the right one.
pub(super) struct StreamRelay {
    body: Incoming,
    decoder: EventDecoder,
    ready: VecDeque<StreamEvent>,
    idle_ms: Millis,
    ended: bool,
    trail: RequestTrail,
    slot: HeldSlot,
    _permit: AdmissionPermit,
}

impl StreamRelay {
    pub(super) fn new(
        body: Incoming,
        idle_ms: Millis,
        trail: RequestTrail,
        slot: HeldSlot,
        permit: AdmissionPermit,
    ) -> Self {
        Self {
            body,
            decoder: EventDecoder::default(),
            ready: VecDeque::new(),
            idle_ms,
            ended: false,
            trail,
            slot,
            _permit: permit,
        }
    }

    /// Returns the parts as a stream; dropping it cancels the request.
    pub(super) fn into_parts(self) -> BoxStream<'static, StreamPart> {
        unfold(self, |mut relay| async move {
            let part = relay.next_part().await?;
            Some((part, relay))
        })
        .boxed()
    }

    async fn next_part(&mut self) -> Option<StreamPart> {
        if self.ended {
            return None;
        }
        let part = match self.next_event().await {
            Ok(StreamEvent::Chunk { raw, data }) => match self.check_id(&data) {
                Ok(()) => return Some(StreamPart::Data(raw)),
                Err(error) => self.broken(error.to_smolstr()),
            },
            Ok(StreamEvent::Done { raw }) => {
                self.trail.answered();
                self.slot.finish();
                StreamPart::Data(raw)
            }
            Err(reason) => self.broken(reason),
        };
        self.ended = true;
        Some(part)
    }

    async fn next_event(&mut self) -> Result<StreamEvent, SmolStr> {
        loop {
            if let Some(event) = self.ready.pop_front() {
                return Ok(event);
            }
            while let Some(event) = self
                .decoder
                .next_event()
                .map_err(|error| error.to_smolstr())?
            {
                self.ready.push_back(event);
            }
            if self.ready.is_empty() {
                let bytes = self.next_bytes().await?;
                self.decoder.push(&bytes);
            }
        }
    }

    async fn next_bytes(&mut self) -> Result<Bytes, SmolStr> {
        let frame = tokio::time::timeout(self.idle_ms.duration(), self.body.frame()).await;
        let frame = frame
            .map_err(|_| {
                UpstreamError::Silent {
                    idle_ms: self.idle_ms,
                }
                .to_smolstr()
            })?
            .ok_or_else(|| StreamError::Incomplete.to_smolstr())?
            .map_err(|error| error.to_smolstr())?;
        self.trail.first_byte();
        Ok(frame.into_data().unwrap_or_default())
    }

    /// Checks that a chunk answers this request and not another one.
    fn check_id(&self, data: &[u8]) -> Result<(), StreamError> {
        match ChunkId::of_data(data) {
            Some(ChunkId { id }) if id != self.trail.request().as_str() => {
                Err(StreamError::WrongRequest { found: id })
            }
            _ => Ok(()),
        }
    }

    fn broken(&mut self, reason: SmolStr) -> StreamPart {
        let refusal = Refusal::unknown(RefusalKind::UpstreamFailed { reason });
        self.trail.refused(&refusal);
        StreamPart::Broken(refusal)
    }
}
