//! Relays an event stream to a caller, across failovers between groups.

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

use super::admitted_request::AdmittedRequest;
use super::choose_target::choose_target;
use super::open_stream::OpenedResponse;
use super::request_stage::RequestStage;
use super::response_body::ResponseBody;
use super::stream_attempts::StreamAttempts;
use super::stream_source::{RESPONDING_EVENTS, StreamSource, StreamUpdate};
use crate::gateway::Gateway;
use crate::metrics::RouteLabels;

/// Why a stream to a caller was aborted.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("stream aborted: {reason}")]
pub(super) struct StreamError {
    reason: SmolStr,
}

/// Relays a stream of events to a caller, and resumes it on another group if its own aborts it or
/// falls silent.
#[derive(Debug)]
pub(super) struct StreamRelay {
    gateway: Arc<Gateway>,
    request: AdmittedRequest,
    attempts: StreamAttempts,
    source: Option<StreamSource>,
    /// The last event that was relayed to the caller.
    last_event: Option<EventId>,
    event_count: u64,
    first_event_ms: Option<Millis>,
    last_relayed_at: Instant,
    longest_pause_ms: Millis,
}

impl StreamRelay {
    /// Returns the response that relays a stream.
    pub(super) fn response(
        gateway: &Arc<Gateway>,
        request: AdmittedRequest,
        attempts: StreamAttempts,
        source: StreamSource,
        parts: &response::Parts,
    ) -> Response<ResponseBody> {
        let mut headers = gateway.edges.wire.response_headers(parts);
        // Another group may continue the stream, so the length of this response need not be that of
        // the relayed stream.
        headers.remove(CONTENT_LENGTH);
        let relay = Self {
            gateway: Arc::clone(gateway),
            last_event: request.head.resume_after,
            request,
            attempts,
            source: Some(source),
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
        let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
        *response.status_mut() = parts.status;
        *response.headers_mut() = headers;
        response
    }

    /// Returns the next event for the caller; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, StreamError>> {
        loop {
            let Some(source) = &mut self.source else {
                return Some(Err(self.abort("no group can continue the stream")));
            };
            match source.next(&self.request).await {
                StreamUpdate::Event(event) => {
                    if source.event_count == RESPONDING_EVENTS {
                        self.gateway.record_success(&self.request);
                    }
                    if let Some(chunk) = self.relay_event(&event) {
                        return Some(Ok(chunk));
                    }
                }
                StreamUpdate::End => {
                    if source.stage() == RequestStage::Begun {
                        self.gateway.record_success(&self.request);
                    }
                    if let Some(source) = self.source.take() {
                        source.release_connection(&self.gateway);
                    }
                    self.record_end("whole");
                    return None;
                }
                StreamUpdate::Suspicious => {
                    self.gateway
                        .suspect(&self.request, &source.target, source.last_seen_at);
                }
                StreamUpdate::Silent => {
                    if !self.fail_over("silent").await {
                        // No other group can continue the stream, so it stays on its instance.
                        if let Some(source) = &mut self.source {
                            source.last_seen_at = Instant::now();
                        }
                    }
                }
                StreamUpdate::Broken(reason) => {
                    let stage = source.stage();
                    self.gateway
                        .check_instance(&self.request, &source.target, stage);
                    self.source = None;
                    if !self.fail_over(&reason).await {
                        return Some(Err(self.abort(reason)));
                    }
                }
                StreamUpdate::TimedOut => return Some(Err(self.abort("deadline exceeded"))),
            }
        }
    }

    /// Returns an event for the caller, unless the caller already has it.
    fn relay_event(&mut self, event: &StreamEvent) -> Option<Bytes> {
        let id = event.id();
        if id.is_some() && id <= self.last_event {
            return None;
        }
        self.last_event = id.or(self.last_event);
        let now = Instant::now();
        let pause_ms = Millis::from(now.duration_since(self.last_relayed_at));
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(self.request.age_ms(now));
        } else {
            self.longest_pause_ms = self.longest_pause_ms.max(pause_ms);
        }
        self.last_relayed_at = now;
        self.event_count += 1;
        Some(event.raw().clone())
    }

    /// Resumes the stream on another group; returns `false` if none can continue it.
    async fn fail_over(&mut self, reason: &str) -> bool {
        let gateway = Arc::clone(&self.gateway);
        while self.attempts.may_run_again() && !self.request.deadline.has_passed() {
            if gateway.is_quarantined(&self.request) {
                return false;
            }
            let Some(target) = choose_target(&gateway, &self.request, self.attempts.instances())
            else {
                return false;
            };
            if !gateway.acquire_retry(&self.request.service) {
                info!(request:% = self.request.head.id; "no budget for going on with a stream");
                return false;
            }
            info!(
                request:% = self.request.head.id, instance:% = target.instance,
                last_event = self.last_event.map(EventId::get), reason = reason;
                "stream moves"
            );
            gateway.metrics.stream_moves.inc();
            // Closing the connection lets the previous instance know that it can stop.
            self.source = None;
            match self
                .attempts
                .open(&gateway, &self.request, target, self.last_event)
                .await
            {
                Ok(OpenedResponse::Stream(source, _)) => {
                    self.source = Some(*source);
                    return true;
                }
                Ok(OpenedResponse::Other(_)) | Err(_) => {}
            }
        }
        false
    }

    fn abort(&mut self, reason: impl Into<SmolStr>) -> StreamError {
        let reason = reason.into();
        self.source = None;
        self.record_end(&reason);
        StreamError { reason }
    }

    fn record_end(&self, outcome: &str) {
        let labels = RouteLabels::new(&self.request.route.name);
        let longest_pauses = self.gateway.metrics.longest_pauses.get_or_create(&labels);
        longest_pauses.observe(self.longest_pause_ms.duration().as_secs_f64());
        info!(
            request:% = self.request.head.id, route:% = self.request.route.name, outcome = outcome,
            events = self.event_count, tries = self.attempts.instances().len(),
            first_event_ms = self.first_event_ms.map(Millis::get),
            longest_pause_ms = self.longest_pause_ms.get(),
            age_ms = self.request.age_ms(Instant::now()).get();
            "stream ended"
        );
    }
}
