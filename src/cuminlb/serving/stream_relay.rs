//! Forwards a streamed response to the caller, and resumes it at another group after a failure.

use cuminlb_caller::StreamItem;
use cuminlb_routing::{AdmissionPermit, Refusal};
use cuminlb_upstream::{EventDecoder, RESUME_HEADER, StreamError, StreamEvent, UpstreamError};
use futures_util::stream::{BoxStream, StreamExt, unfold};

use super::open_response::{OpenResponse, check_request_id};
use super::request_run::RequestRun;

/// Forwards a streamed response event by event, and checks that it is complete and belongs to
/// the request.
///
/// A stream that fails is resumed at another group if the engine can resume it, or if nothing of
/// it has been forwarded yet.
pub(super) struct StreamRelay {
    run: RequestRun,
    /// The current response, or `None` after a failure.
    response: Option<OpenResponse>,
    decoder: EventDecoder,
    delivered_chunks: u64,
    has_forwarded_any: bool,
    is_ended: bool,
    _permit: AdmissionPermit,
}

impl StreamRelay {
    pub(super) fn new(run: RequestRun, response: OpenResponse, permit: AdmissionPermit) -> Self {
        Self {
            run,
            response: Some(response),
            decoder: EventDecoder::default(),
            delivered_chunks: 0,
            has_forwarded_any: false,
            is_ended: false,
            _permit: permit,
        }
    }

    /// Returns the items as a stream; dropping it cancels the request.
    pub(super) fn into_items(self) -> BoxStream<'static, StreamItem> {
        unfold(self, |mut relay| async move {
            let item = relay.next_item().await?;
            Some((item, relay))
        })
        .boxed()
    }

    async fn next_item(&mut self) -> Option<StreamItem> {
        while !self.is_ended {
            let error = match self.next_event().await {
                Ok(event) => return Some(self.forward(event)),
                Err(error) => error,
            };
            if let Err(refusal) = self.resume(error).await {
                self.is_ended = true;
                self.response = None;
                self.run.events.record_refused(&refusal);
                return Some(StreamItem::Broken(refusal));
            }
        }
        None
    }

    fn forward(&mut self, event: StreamEvent) -> StreamItem {
        self.has_forwarded_any = true;
        self.run.events.record_first_byte();
        match event {
            StreamEvent::Chunk { raw, data } => {
                // A comment has no data and does not count as a chunk of the response.
                self.delivered_chunks += u64::from(!data.is_empty());
                StreamItem::Data(raw)
            }
            StreamEvent::Done { raw } => {
                self.is_ended = true;
                if let Some(response) = self.response.as_mut() {
                    response.slot.finish();
                }
                self.run.quarantine.clear();
                self.run.events.record_answered();
                StreamItem::Data(raw)
            }
        }
    }

    /// Returns the next complete event, after checking that it belongs to this request.
    async fn next_event(&mut self) -> Result<StreamEvent, UpstreamError> {
        let idle_ms = self.run.node.settings.limits.stream_idle_ms;
        loop {
            if let Some(event) = self.decoder.next_event()? {
                if let StreamEvent::Chunk { data, .. } = &event {
                    check_request_id(data, &self.run.request.id)?;
                }
                return Ok(event);
            }
            let Some(response) = self.response.as_mut() else {
                return Err(StreamError::Incomplete.into());
            };
            match response.next_bytes(idle_ms, &self.run.bounds).await? {
                Some(bytes) => {
                    self.run.events.record_first_byte();
                    self.decoder.push(&bytes);
                }
                None => return Err(StreamError::Incomplete.into()),
            }
        }
    }

    /// Resumes the stream at a group after a failure, without losing or repeating a chunk.
    async fn resume(&mut self, error: UpstreamError) -> Result<(), Refusal> {
        // Closes the connection and releases the slot before requesting another slot.
        if let Some(response) = self.response.take() {
            self.run.record_failure(&error, &response.slot).await;
        }
        self.decoder = EventDecoder::default();
        let model = self.run.destination.model();
        let can_resume = model.is_some_and(|model| model.resumable);
        if self.has_forwarded_any && !can_resume {
            self.run.may_have_run = true;
            return Err(self.run.refusal(&error));
        }
        self.run.handle_failure(error.into())?;
        let response = self.run.open_response(self.delivered_chunks).await?;
        if !self.is_resumed(&response) {
            let delivered_chunks = self.delivered_chunks;
            self.run.may_have_run = true;
            let error = StreamError::NotResumed { delivered_chunks };
            return Err(self.run.refusal(&error.into()));
        }
        self.response = Some(response);
        Ok(())
    }

    /// Returns whether a response starts with the first chunk that the caller does not have.
    fn is_resumed(&self, response: &OpenResponse) -> bool {
        let skipped_chunks = response.http_response.headers().get(RESUME_HEADER);
        let skipped_chunks = skipped_chunks.and_then(|value| value.to_str().ok()?.parse().ok());
        response.is_stream() && skipped_chunks.unwrap_or(0) == self.delivered_chunks
    }
}
