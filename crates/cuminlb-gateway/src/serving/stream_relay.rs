//! [`StreamRelay`].

use std::sync::Arc;

use bytes::Bytes;
use cuminlb_types::prelude::*;
use cuminlb_upstream::StreamEvent;
use futures_util::stream::unfold;
use http::header::CONTENT_LENGTH;
use http::{Response, response};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use log::info;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::answer_body::AnswerBody;
use super::ask::Ask;
use super::choose_target::choose_target;
use super::open_stream::Opened;
use super::stream_source::{StreamNews, StreamSource};
use super::stream_tries::StreamTries;
use crate::gateway::Gateway;
use crate::metrics::RouteLabels;

/// The reason why a stream to a caller breaks off.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the stream broke off: {reason}")]
pub(super) struct StreamBroken {
    reason: SmolStr,
}

/// Passes a stream of events on to a caller, and goes on with it at another group where its own
/// breaks off or falls silent.
#[derive(Debug)]
pub(super) struct StreamRelay {
    gateway: Arc<Gateway>,
    ask: Ask,
    tries: StreamTries,
    source: Option<StreamSource>,
    /// The last event that the caller has.
    last_event: Option<EventId>,
    events: u64,
    first_event_ms: Option<Millis>,
    passed_at: Instant,
    longest_pause_ms: Millis,
}

impl StreamRelay {
    /// Returns the answer that passes a stream on.
    pub(super) fn answer(
        gateway: &Arc<Gateway>,
        ask: Ask,
        tries: StreamTries,
        source: StreamSource,
        parts: &response::Parts,
    ) -> Response<AnswerBody> {
        let mut headers = gateway.edges.wire.response_headers(parts);
        // Another group may go on with the stream, and the length says nothing of its events.
        headers.remove(CONTENT_LENGTH);
        let relay = Self {
            gateway: Arc::clone(gateway),
            last_event: ask.head.resume_after,
            ask,
            tries,
            source: Some(source),
            events: 0,
            first_event_ms: None,
            passed_at: Instant::now(),
            longest_pause_ms: Millis(0),
        };
        let pieces = unfold(Some(relay), async |relay| {
            let mut relay = relay?;
            match relay.next_piece().await {
                Some(Ok(piece)) => Some((Ok(Frame::data(piece)), Some(relay))),
                Some(Err(broken)) => Some((Err(broken), None)),
                None => None,
            }
        });
        let mut answer = Response::new(StreamBody::new(pieces).boxed_unsync());
        *answer.status_mut() = parts.status;
        *answer.headers_mut() = headers;
        answer
    }

    /// Returns the next event for the caller; `None` at the end of the stream.
    async fn next_piece(&mut self) -> Option<Result<Bytes, StreamBroken>> {
        loop {
            let Some(source) = &mut self.source else {
                return Some(Err(self.broken("no group can go on with it")));
            };
            match source.next(&self.ask).await {
                StreamNews::Event(event) => {
                    if let Some(piece) = self.pass(&event) {
                        return Some(Ok(piece));
                    }
                }
                StreamNews::End => {
                    if let Some(source) = self.source.take() {
                        source.finish(&self.gateway);
                    }
                    self.note_end("whole");
                    return None;
                }
                StreamNews::Quiet => {
                    self.gateway
                        .suspect(&self.ask, &source.target, source.heard_at);
                }
                StreamNews::Silent => {
                    if !self.move_on("silent").await {
                        // Nobody else can go on with it: it stays where it is.
                        if let Some(source) = &mut self.source {
                            source.heard_at = Instant::now();
                        }
                    }
                }
                StreamNews::Broken(reason) => {
                    self.source = None;
                    if !self.move_on(&reason).await {
                        return Some(Err(self.broken(reason)));
                    }
                }
                StreamNews::TimeUp => return Some(Err(self.broken("its time is over"))),
            }
        }
    }

    /// Returns an event for the caller, unless the caller has it already.
    fn pass(&mut self, event: &StreamEvent) -> Option<Bytes> {
        let id = event.id();
        if id.is_some() && id <= self.last_event {
            return None;
        }
        self.last_event = id.or(self.last_event);
        let now = Instant::now();
        let pause_ms = Millis::from(now.duration_since(self.passed_at));
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.ask.age_ms(now));
        } else {
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.passed_at = now;
        self.events += 1;
        Some(event.raw().clone())
    }

    /// Goes on with the stream at another group; returns `false` where none can.
    async fn move_on(&mut self, reason: &str) -> bool {
        let gateway = Arc::clone(&self.gateway);
        while self.tries.may_run_again() && Instant::now() < self.ask.ends_at {
            let Some(target) = choose_target(&gateway, &self.ask, self.tries.instances()) else {
                return false;
            };
            if !gateway.take_repeat(&self.ask.service) {
                info!(request:% = self.ask.head.id; "no budget for going on with a stream");
                return false;
            }
            info!(
                request:% = self.ask.head.id, instance:% = target.instance,
                last_event = self.last_event.map(EventId::get), reason = reason;
                "stream moves"
            );
            gateway.metrics.moves.inc();
            // The instance before learns by the end of its connection that it can stop.
            self.source = None;
            match self
                .tries
                .open(&gateway, &self.ask, target, self.last_event)
                .await
            {
                Ok(Opened::Stream(source, _)) => {
                    self.source = Some(*source);
                    return true;
                }
                Ok(Opened::Other(_)) | Err(_) => {}
            }
        }
        false
    }

    fn broken(&mut self, reason: impl Into<SmolStr>) -> StreamBroken {
        let reason = reason.into();
        self.source = None;
        self.note_end(&reason);
        StreamBroken { reason }
    }

    fn note_end(&self, outcome: &str) {
        let labels = RouteLabels::new(&self.ask.route.name);
        let pauses = self.gateway.metrics.pauses.get_or_create(&labels);
        pauses.observe(self.longest_pause_ms.duration().as_secs_f64());
        info!(
            request:% = self.ask.head.id, route:% = self.ask.route.name, outcome = outcome,
            events = self.events, tries = self.tries.instances().len(),
            first_event_ms = self.first_event_ms.map(Millis::get),
            longest_pause_ms = self.longest_pause_ms.get(),
            age_ms = self.ask.age_ms(Instant::now()).get();
            "stream ended"
        );
    }
}
