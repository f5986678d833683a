//! [`StreamRelay`].

use cuminlb_caller::StreamItem;
use cuminlb_routing::{AdmissionPermit, Refusal};
use cuminlb_upstream::{EventDecoder, RESUME_HEADER, StreamError, StreamEvent, UpstreamError};
use futures_util::stream::{BoxStream, StreamExt, unfold};

use super::open_answer::{OpenAnswer, check_id};
use super::request_run::RequestRun;

/// Passes a streamed answer on, event by event, and checks that it is whole and the right one.
///
/// A stream that breaks off goes on from another group, where the engine can resume it or where
/// nothing of it has been passed on.
pub(super) struct StreamRelay {
    run: RequestRun,
    answer: Option<OpenAnswer>,
    decoder: EventDecoder,
    delivered_chunks: u64,
    has_passed_any: bool,
    ended: bool,
    _permit: AdmissionPermit,
}

impl StreamRelay {
    pub(super) fn new(run: RequestRun, answer: OpenAnswer, permit: AdmissionPermit) -> Self {
        Self {
            run,
            answer: Some(answer),
            decoder: EventDecoder::default(),
            delivered_chunks: 0,
            has_passed_any: false,
            ended: false,
            _permit: permit,
        }
    }

    /// Returns the parts as a stream; dropping it cancels the request.
    pub(super) fn into_items(self) -> BoxStream<'static, StreamItem> {
        unfold(self, |mut relay| async move {
            let item = relay.next_item().await?;
            Some((item, relay))
        })
        .boxed()
    }

    async fn next_item(&mut self) -> Option<StreamItem> {
        while !self.ended {
            let error = match self.next_event().await {
                Ok(event) => return Some(self.pass(event)),
                Err(error) => error,
            };
            if let Err(refusal) = self.reopen(error).await {
                self.ended = true;
                self.answer = None;
                self.run.trail.refused(&refusal);
                return Some(StreamItem::Broken(refusal));
            }
        }
        None
    }

    fn pass(&mut self, event: StreamEvent) -> StreamItem {
        self.has_passed_any = true;
        self.run.trail.first_byte();
        match event {
            StreamEvent::Chunk { raw, data } => {
                // A comment has no data and is no chunk of the answer.
                self.delivered_chunks += u64::from(!data.is_empty());
                StreamItem::Data(raw)
            }
            StreamEvent::Done { raw } => {
                self.ended = true;
                if let Some(answer) = self.answer.as_mut() {
                    answer.slot.finish();
                }
                self.run.suspicion.clear();
                self.run.trail.answered();
                StreamItem::Data(raw)
            }
        }
    }

    /// Returns the next whole event that belongs to this request.
    async fn next_event(&mut self) -> Result<StreamEvent, UpstreamError> {
        let idle_ms = self.run.node.settings.limits.stream_idle_ms;
        loop {
            if let Some(event) = self.decoder.next_event()? {
                if let StreamEvent::Chunk { data, .. } = &event {
                    check_id(data, &self.run.request.id)?;
                }
                return Ok(event);
            }
            let Some(answer) = self.answer.as_mut() else {
                return Err(StreamError::Incomplete.into());
            };
            match answer.next_bytes(idle_ms, &self.run.bounds).await? {
                Some(bytes) => {
                    self.run.trail.first_byte();
                    self.decoder.push(&bytes);
                }
                None => return Err(StreamError::Incomplete.into()),
            }
        }
    }

    /// Goes on with the stream at a group after a failure, without losing or repeating a chunk.
    async fn reopen(&mut self, error: UpstreamError) -> Result<(), Refusal> {
        // The connection and the slot are given back before another group is asked.
        if let Some(answer) = self.answer.take() {
            self.run.note_failure(&error, &answer.slot).await;
        }
        self.decoder = EventDecoder::default();
        let model = self.run.destination.model();
        let can_resume = model.is_some_and(|model| model.resumable);
        if self.has_passed_any && !can_resume {
            self.run.may_have_run = true;
            return Err(self.run.refusal(&error));
        }
        self.run.after_failure(error.into())?;
        let answer = self.run.open(self.delivered_chunks).await?;
        if !self.is_resumed(&answer) {
            let delivered_chunks = self.delivered_chunks;
            self.run.may_have_run = true;
            let error = StreamError::NotResumed { delivered_chunks };
            return Err(self.run.refusal(&error.into()));
        }
        self.answer = Some(answer);
        Ok(())
    }

    /// Tells whether an answer begins with the first chunk that the caller does not have.
    fn is_resumed(&self, answer: &OpenAnswer) -> bool {
        let left_out = answer.response.headers().get(RESUME_HEADER);
        let left_out = left_out.and_then(|value| value.to_str().ok()?.parse().ok());
        answer.is_stream() && left_out.unwrap_or(0) == self.delivered_chunks
    }
}
