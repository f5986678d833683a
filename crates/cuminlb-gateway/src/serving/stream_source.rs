//! The receiving side of an event stream from an instance.

use std::time::Duration;

use cuminlb_catalog::{ResponseHead, RouteKind};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EventDecoder, StreamEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, timeout};

use super::admitted_request::AdmittedRequest;
use super::in_flight_guard::InFlightGuard;
use super::request_stage::RequestStage;
use super::silence_watch::{Silence, SilenceWatch};
use super::target::Target;
use crate::gateway::Gateway;
use crate::upstream::{Connection, ConnectionDeadline};

/// How often a stream that receives nothing checks the silence of its instance.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(30);

/// Fraction of the acceptable pause after which an instance is suspected.
const PAUSE_SUSPICION_FRACTION: f64 = 0.75;

/// Fraction of the target latency of the first event after which an instance is suspected.
const FIRST_EVENT_SUSPICION_FRACTION: f64 = 0.9;

/// Acceptable pause between two events if the route states none.
const DEFAULT_MAX_PAUSE: Duration = Duration::from_millis(500);

/// The number of events from which on a crash of the instance is not attributed to the stream.
pub(super) const RESPONDING_EVENTS: u64 = 2;

/// A stream of events from an instance.
#[derive(Debug)]
pub(super) struct StreamSource {
    pub(super) target: Target,
    pub(super) head: ResponseHead,
    pub(super) in_flight: InFlightGuard,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    /// Ends the stream at the deadline of the request, even if the caller does not read.
    pub(super) deadline: ConnectionDeadline,
    pub(super) decoder: EventDecoder,
    /// When something was last received, or when the request was sent.
    pub(super) last_seen_at: Instant,
    /// The number of events that have been received.
    pub(super) event_count: u64,
    pub(super) has_ended: bool,
    /// Evaluates how long nothing has been received.
    pub(super) watch: SilenceWatch,
}

/// The next update from a [`StreamSource`].
#[derive(Debug)]
pub(super) enum StreamUpdate {
    /// An event.
    Event(StreamEvent),
    /// The stream has ended and is complete.
    End,
    /// The stream was interrupted.
    Broken(SmolStr),
    /// Nothing is received, and the instance may be stalled.
    Suspicious,
    /// Nothing has been received for so long that the stream should fail over.
    Silent,
    /// The deadline of the request has passed.
    TimedOut,
}

impl StreamSource {
    /// Waits for the next update.
    pub(super) async fn next(&mut self, request: &AdmittedRequest) -> StreamUpdate {
        loop {
            // An instance that sends without pause would never let the deadline below have its turn.
            if request.deadline.has_passed() {
                return StreamUpdate::TimedOut;
            }
            match self.decoder.next_event() {
                Ok(Some(event)) => {
                    self.event_count += 1;
                    return StreamUpdate::Event(event);
                }
                Ok(None) => {}
                Err(error) => return StreamUpdate::Broken(error.to_smolstr()),
            }
            if self.has_ended {
                return if self.decoder.is_empty() {
                    StreamUpdate::End
                } else {
                    StreamUpdate::Broken("the stream ended in the middle of an event".into())
                };
            }
            let limit = silence_limit(request, self.event_count > 0);
            tokio::select! {
                biased;
                frame = timeout(SILENCE_CHECK_PERIOD, self.body.frame()) => match frame {
                    Ok(Some(Ok(frame))) => {
                        let now = Instant::now();
                        self.last_seen_at = now;
                        self.in_flight.record_progress(now);
                        if let Some(data) = frame.data_ref() {
                            self.decoder.push(data);
                        }
                    }
                    Ok(Some(Err(error))) => return StreamUpdate::Broken(error.to_smolstr()),
                    Ok(None) => self.has_ended = true,
                    Err(_elapsed) => match self.watch.check(
                        &self.in_flight,
                        self.last_seen_at,
                        limit,
                        self.target.epoch(),
                    ) {
                        Silence::Normal => {}
                        Silence::Suspicious => return StreamUpdate::Suspicious,
                        Silence::TooLong => return StreamUpdate::Silent,
                    },
                },
                () = request.deadline.passed() => return StreamUpdate::TimedOut,
            }
        }
    }

    /// Returns how far the instance has come with the request.
    pub(super) const fn stage(&self) -> RequestStage {
        if self.event_count < RESPONDING_EVENTS {
            RequestStage::Begun
        } else {
            RequestStage::Responding
        }
    }

    /// Returns the connection to the pool if the stream has ended.
    pub(super) fn release_connection(self, gateway: &Gateway) {
        drop(self.deadline);
        if self.has_ended && !self.head.closes {
            gateway
                .pool
                .release(self.connection, self.head.keep_alive_ms);
        }
    }
}

/// Returns how long an instance may be silent for a request, before or after its first event.
pub(super) fn silence_limit(request: &AdmittedRequest, has_started: bool) -> Duration {
    if !has_started {
        return request
            .route
            .target_latency_ms
            .duration()
            .mul_f64(FIRST_EVENT_SUSPICION_FRACTION);
    }
    let pause = match request.route.kind {
        RouteKind::Stream { target_gap_ms, .. } => target_gap_ms.map(Millis::duration),
        RouteKind::Idempotent | RouteKind::AtMostOnce => None,
    };
    pause
        .unwrap_or(DEFAULT_MAX_PAUSE)
        .mul_f64(PAUSE_SUSPICION_FRACTION)
}
