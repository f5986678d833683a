//! [`StreamSource`].

use std::time::Duration;

use cuminlb_catalog::{ResponseHead, RouteKind};
use cuminlb_types::prelude::*;
use cuminlb_upstream::{EventDecoder, StreamEvent};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::{Instant, sleep_until, timeout};

use super::ask::Ask;
use super::in_flight::InFlight;
use super::silence_watch::{Silence, SilenceWatch};
use super::target::Target;
use crate::gateway::Gateway;
use crate::upstream::Connection;

/// How often a stream that is silent looks at how its instance does otherwise.
const LOOK_PERIOD: Duration = Duration::from_millis(30);

/// The part of the pause that is still on time after which an instance is suspected.
const PAUSE_PART: f64 = 0.75;

/// The part of the time to the first event after which an instance is suspected.
const FIRST_EVENT_PART: f64 = 0.9;

/// The pause that is still on time where the route names none.
const DEFAULT_PAUSE: Duration = Duration::from_millis(500);

/// A stream of events that comes from an instance.
#[derive(Debug)]
pub(super) struct StreamSource {
    pub(super) target: Target,
    pub(super) head: ResponseHead,
    pub(super) in_flight: InFlight,
    pub(super) body: Incoming,
    pub(super) connection: Connection,
    pub(super) decoder: EventDecoder,
    /// When something last came, or the request was sent.
    pub(super) heard_at: Instant,
    /// Whether an event has come.
    pub(super) has_begun: bool,
    pub(super) has_ended: bool,
    /// Watches how long nothing comes.
    pub(super) watch: SilenceWatch,
}

/// What comes next from a [`StreamSource`].
#[derive(Debug)]
pub(super) enum StreamNews {
    /// An event.
    Event(StreamEvent),
    /// The stream has ended as a whole.
    End,
    /// The stream has broken off.
    Broken(SmolStr),
    /// Nothing comes, and the instance may stand still.
    Quiet,
    /// Nothing has come for so long that another instance should go on.
    Silent,
    /// The time of the request is over.
    TimeUp,
}

impl StreamSource {
    /// Waits for what comes next.
    pub(super) async fn next(&mut self, ask: &Ask) -> StreamNews {
        loop {
            match self.decoder.next_event() {
                Ok(Some(event)) => {
                    self.has_begun = true;
                    return StreamNews::Event(event);
                }
                Ok(None) => {}
                Err(error) => return StreamNews::Broken(error.to_smolstr()),
            }
            if self.has_ended {
                return if self.decoder.is_empty() {
                    StreamNews::End
                } else {
                    StreamNews::Broken("the stream ended inside an event".into())
                };
            }
            let limit = silence_limit(ask, self.has_begun);
            tokio::select! {
                biased;
                frame = timeout(LOOK_PERIOD, self.body.frame()) => match frame {
                    Ok(Some(Ok(frame))) => {
                        let now = Instant::now();
                        self.heard_at = now;
                        self.in_flight.note_progress(now);
                        if let Some(data) = frame.data_ref() {
                            self.decoder.push(data);
                        }
                    }
                    Ok(Some(Err(error))) => return StreamNews::Broken(error.to_smolstr()),
                    Ok(None) => self.has_ended = true,
                    Err(_elapsed) => match self.watch.look(&self.in_flight, self.heard_at, limit, self.target.epoch()) {
                        Silence::Usual => {}
                        Silence::Suspicious => return StreamNews::Quiet,
                        Silence::TooLong => return StreamNews::Silent,
                    },
                },
                () = sleep_until(ask.ends_at) => return StreamNews::TimeUp,
            }
        }
    }

    /// Gives the connection of a stream that has ended back for others.
    pub(super) fn finish(self, gateway: &Gateway) {
        if self.has_ended && !self.head.closes {
            gateway
                .pool
                .give_back(self.connection, self.head.keep_alive_ms);
        }
    }
}

/// Returns how long an instance may be silent for a request, before or after its first event.
pub(super) fn silence_limit(ask: &Ask, has_begun: bool) -> Duration {
    if !has_begun {
        return ask
            .route
            .target_latency_ms
            .duration()
            .mul_f64(FIRST_EVENT_PART);
    }
    let pause = match ask.route.kind {
        RouteKind::Stream { target_gap_ms, .. } => target_gap_ms.map(Millis::duration),
        RouteKind::Idempotent | RouteKind::AtMostOnce => None,
    };
    pause.unwrap_or(DEFAULT_PAUSE).mul_f64(PAUSE_PART)
}
