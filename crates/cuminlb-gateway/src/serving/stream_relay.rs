//! Relays an event stream to a caller, across failovers between groups.

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::StreamEvent;
use futures_util::stream::unfold;
use http::Response;
use http::header::CONTENT_LENGTH;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::response_body::ResponseBody;
use super::silence_limit::target_gap;
use super::stream_attempts::StreamAttempts;
use super::stream_error::StreamError;
use super::stream_update::StreamUpdate;
use super::wait_for_target::wait_for_target;
use crate::metrics::RouteLabels;

/// The longest pause between two events that callers accept, in acceptable pauses of the route.
const MAX_PAUSE_GAPS: u32 = 4;

/// Relays a stream of events to a caller. If its group aborts it or falls silent, another group is
/// asked to resume it.
#[derive(Debug)]
pub(super) struct StreamRelay {
    attempts: StreamAttempts,
    /// An update that was received before the relay began.
    pending: Option<StreamUpdate>,
    event_count: u64,
    first_event_ms: Option<Millis>,
    last_relayed_at: Instant,
    longest_pause_ms: Millis,
}

impl StreamRelay {
    /// Returns the response that relays the stream of an attempt, of which `pending` has already been
    /// received. The other attempts end.
    pub(super) fn response(
        mut attempts: StreamAttempts,
        number: AttemptNumber,
        pending: StreamUpdate,
    ) -> Response<ResponseBody> {
        attempts.select(number);
        let mut response = Response::new(());
        if let Some(parts) = attempts.open.take_head(number) {
            *response.status_mut() = parts.status;
            *response.headers_mut() = attempts.gateway.edges.wire.response_headers(&parts);
        }
        // Another group may continue the stream, so the length of this response need not be that of
        // the relayed stream.
        response.headers_mut().remove(CONTENT_LENGTH);
        let relay = Self {
            attempts,
            pending: Some(pending),
            event_count: 0,
            first_event_ms: None,
            last_relayed_at: Instant::now(),
            longest_pause_ms: Millis(0),
        };
        let frames = unfold(Some(relay), async |relay| {
            let mut relay = relay?;
            match relay.next_chunk().await {
                Some(Ok(chunk)) => Some((Ok(Frame::data(chunk)), Some(relay))),
                Some(Err(error)) => Some((Err(error), None)),
                None => None,
            }
        });
        response.map(|()| StreamBody::new(frames).boxed_unsync())
    }

    /// Returns the next event for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let update = match self.pending.take() {
                Some(update) => update,
                None => self.attempts.next().await,
            };
            match update {
                StreamUpdate::Event(number, event) => {
                    return Some(Ok(self.relay_event(number, &event)));
                }
                StreamUpdate::End(number) => {
                    self.attempts.select(number);
                    self.attempts.finish(number);
                    self.record_end("whole");
                    return None;
                }
                // The head of a stream does not show that the instance continues it.
                StreamUpdate::Opened => {}
                StreamUpdate::Silent => self.attempts.offer("silent"),
                StreamUpdate::Other(_) => {
                    if let Err(error) = self.offer_or_abort("the response is no stream").await {
                        return Some(Err(error));
                    }
                }
                StreamUpdate::Failed(reason) => {
                    if let Err(error) = self.offer_or_abort(&reason).await {
                        return Some(Err(error));
                    }
                }
                StreamUpdate::TimedOut => return Some(Err(self.abort("deadline exceeded"))),
            }
        }
    }

    /// Offers the stream to another group after an attempt has ended. If none is left and no other
    /// group is available, waits for one while the pause is no longer than callers accept.
    ///
    /// # Errors
    ///
    /// Returns [`StreamError`] if no attempt is left.
    async fn offer_or_abort(&mut self, reason: &str) -> Result<(), StreamError> {
        self.attempts.offer(reason);
        if self.attempts.open.is_empty() && self.attempts.lacks_instance() {
            let max_pause = target_gap(&self.attempts.request) * MAX_PAUSE_GAPS;
            let until = self.last_relayed_at + max_pause;
            if wait_for_target(&mut self.attempts, until).await.is_ok() {
                self.attempts.offer(reason);
            }
        }
        if self.attempts.open.is_empty() {
            return Err(self.abort(reason));
        }
        Ok(())
    }

    /// Returns an event for the caller.
    fn relay_event(&mut self, number: AttemptNumber, event: &StreamEvent) -> Bytes {
        if self.attempts.progress.is_continued_by(event) {
            self.attempts.select(number);
        }
        self.attempts.progress.record(event);
        let now = Instant::now();
        let pause_ms = Millis::from(now.duration_since(self.last_relayed_at));
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.attempts.request.age_ms(now));
        } else {
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_relayed_at = now;
        self.event_count += 1;
        event.raw().clone()
    }

    fn abort(&mut self, reason: impl Into<SmolStr>) -> StreamError {
        let reason = reason.into();
        self.record_end(&reason);
        StreamError { reason }
    }

    fn record_end(&self, outcome: &str) {
        let StreamAttempts {
            gateway, request, ..
        } = &self.attempts;
        let labels = RouteLabels::new(&request.route.name);
        let longest_pauses = gateway.metrics.longest_pauses.get_or_create(&labels);
        longest_pauses.observe(self.longest_pause_ms.duration().as_secs_f64());
        info!(
            request:% = request.head.id, route:% = request.route.name, outcome = outcome,
            events = self.event_count, tries = self.attempts.decisions.started(),
            first_event_ms = self.first_event_ms.map(Millis::get),
            longest_pause_ms = self.longest_pause_ms.get(),
            age_ms = request.age_ms(Instant::now()).get();
            "stream ended"
        );
    }
}
