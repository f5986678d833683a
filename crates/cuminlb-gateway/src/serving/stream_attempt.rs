//! One attempt to get an event stream from an instance.

use std::sync::Arc;
use std::time::Duration;

use cuminlb_routing::LinkRoute;
use cuminlb_types::prelude::*;
use cuminlb_upstream::StreamEvent;
use http::response;
use log::info;
use tokio::time::{Instant, timeout};

use super::admitted_request::AdmittedRequest;
use super::attempt_failure::AttemptFailure;
use super::attempt_stage::AttemptStage;
use super::attempt_update::AttemptUpdate;
use super::in_flight_guard::InFlightGuard;
use super::plain_exchange::{forward_order, forwarded_request, from_send_failure};
use super::silence::Silence;
use super::silence_limit::silence_limit;
use super::silence_watch::SilenceWatch;
use super::stream_head::{StreamHead, read_head};
use super::stream_progress::StreamProgress;
use super::stream_source::StreamSource;
use super::target::Target;
use crate::gateway::Gateway;
use crate::links::{ExchangePlace, InstanceLink};

/// How often an attempt that receives nothing checks the silence of its instance.
const SILENCE_CHECK_PERIOD: Duration = Duration::from_millis(30);

/// One attempt to get an event stream from an instance. Dropping it closes its connection, which lets
/// the instance know that it can stop.
#[derive(Debug)]
pub(super) struct StreamAttempt {
    pub(super) number: AttemptNumber,
    pub(super) target: Target,
    /// Where the request was sent, once there is a connection.
    place: Option<ExchangePlace>,
    /// Whether another node forwards the request.
    is_forwarded: bool,
    resume_after: Option<EventId>,
    started_at: Instant,
    pub(super) stage: AttemptStage,
    in_flight: InFlightGuard,
    /// When something was last received, or when the request was sent.
    last_seen_at: Instant,
    watch: SilenceWatch,
    /// Whether it has sent a part of the response that the caller did not have.
    pub(super) has_delivered: bool,
    /// Whether its stream has ended, but may not yet end the response.
    pub(super) has_ended: bool,
    /// The marker of the end of its stream, while it may not yet end the response.
    pub(super) held_back: Option<StreamEvent>,
}

impl StreamAttempt {
    /// Starts an attempt of a request on an instance.
    pub(super) fn start(
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
        number: AttemptNumber,
        target: Target,
        resume_after: Option<EventId>,
    ) -> Self {
        let in_flight = gateway
            .loads
            .start_request(&target, request.load_key(gateway));
        let now = Instant::now();
        let connecting = Arc::clone(gateway);
        let destination = target.clone();
        let request = request.head.id.clone();
        Self {
            number,
            target,
            place: None,
            is_forwarded: false,
            resume_after,
            started_at: now,
            stage: AttemptStage::Connecting(Box::pin(async move {
                InstanceLink::open(&connecting, &destination, &request).await
            })),
            in_flight,
            last_seen_at: now,
            watch: SilenceWatch::default(),
            has_delivered: false,
            has_ended: false,
            held_back: None,
        }
    }

    /// Returns the stream if it has begun.
    pub(super) fn source(&self) -> Option<&StreamSource> {
        match &self.stage {
            AttemptStage::Streaming(source) => Some(source),
            _ => None,
        }
    }

    /// Returns whether the request was sent on a connection of this node to an instance that only other
    /// nodes reach.
    pub(super) fn has_lost_link(&self, gateway: &Gateway) -> bool {
        let route = gateway.links.route(&self.target.instance);
        !self.is_forwarded && route == LinkRoute::Forwarded
    }

    /// Returns the head of the response, unless it was taken before or is no stream's.
    pub(super) fn take_head(&mut self) -> Option<Box<response::Parts>> {
        match &mut self.stage {
            AttemptStage::Streaming(source) => source.parts.take(),
            _ => None,
        }
    }

    /// Logs what came of the attempt to open a stream.
    pub(super) fn log_outcome(&self, request: &AdmittedRequest, outcome: &str) {
        let now = Instant::now();
        let group = self.target.group.as_ref();
        let place = self.place.as_ref();
        info!(
            request:% = request.head.id, route:% = request.route.name,
            instance:% = self.target.instance, group = group.map(|(group, _)| group.as_str()),
            resume_after = self.resume_after.map(EventId::get), tries = self.number.get() + 1,
            connection = place.map(|it| it.connection.get()), exchange = place.map(|it| it.exchange),
            node = place.and_then(|it| it.node.as_ref()).map(NodeId::as_str),
            age_ms = request.age_ms(now).get(),
            waited_ms = Millis::from(now.duration_since(self.started_at)).get(), outcome = outcome;
            "stream asked for"
        );
    }

    /// Waits for the next update. Nothing is lost if the future is dropped before that.
    pub(super) async fn next(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
    ) -> AttemptUpdate {
        loop {
            // An instance that sends without pause would never let the deadline below have its turn.
            if request.deadline.has_passed() {
                return AttemptUpdate::TimedOut;
            }
            if let AttemptStage::Streaming(source) = &mut self.stage
                && let Some(update) = source.decode()
            {
                return update;
            }
            let received = tokio::select! {
                biased;
                received = timeout(SILENCE_CHECK_PERIOD, self.receive(gateway, request)) => received,
                () = request.deadline.passed() => return AttemptUpdate::TimedOut,
            };
            let update = match received {
                Ok(Ok(update)) => update,
                Ok(Err(failure)) => Some(AttemptUpdate::Failed(failure)),
                Err(_elapsed) => self.check_silence(gateway, request),
            };
            if let Some(update) = update {
                return update;
            }
        }
    }

    /// Waits until the attempt comes one step further.
    async fn receive(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
    ) -> Result<Option<AttemptUpdate>, AttemptFailure> {
        match &mut self.stage {
            AttemptStage::Connecting(connection) => {
                let link = connection.await.map_err(from_send_failure)?;
                self.send(gateway, request, link);
                Ok(None)
            }
            AttemptStage::Waiting(response) => {
                let (link, response) = response.await;
                let response = response.map_err(from_send_failure)?;
                link.record_contact(gateway, &self.target.instance, Instant::now());
                let head = read_head(
                    gateway,
                    request,
                    &self.target,
                    &self.in_flight,
                    link,
                    response,
                    self.last_seen_at,
                )?;
                Ok(self.continue_after(head))
            }
            AttemptStage::ReadingResponse(response) => {
                let response = response.await?;
                Ok(Some(AttemptUpdate::Other(response)))
            }
            AttemptStage::Streaming(source) => {
                let update = source.receive().await;
                if update.is_none() {
                    self.in_flight.record_begin();
                    self.last_seen_at = Instant::now();
                    self.in_flight.record_progress(self.last_seen_at);
                    let instance = &self.target.instance;
                    source
                        .link
                        .record_contact(gateway, instance, self.last_seen_at);
                }
                Ok(update)
            }
        }
    }

    /// Returns an event if the caller is to receive it: if it continues the response, or if it has no
    /// id and the response comes from this attempt.
    pub(super) fn pass_on(
        &mut self,
        event: StreamEvent,
        progress: &StreamProgress,
        is_selected: bool,
    ) -> Option<StreamEvent> {
        if progress.is_continued_by(&event) {
            self.has_delivered = true;
            return Some(event);
        }
        if event.id().is_some() {
            return None;
        }
        if is_selected {
            return Some(event);
        }
        if matches!(event, StreamEvent::Done { .. }) {
            self.held_back = Some(event);
        }
        None
    }

    fn send(&mut self, gateway: &Arc<Gateway>, request: &AdmittedRequest, mut link: InstanceLink) {
        let outgoing = forwarded_request(gateway, request, &self.target, self.resume_after);
        let order = forward_order(request, &self.target);
        self.is_forwarded = link.forwarder().is_some();
        self.place = Some(link.next_place());
        let sending = Arc::clone(gateway);
        self.last_seen_at = Instant::now();
        self.stage = AttemptStage::Waiting(Box::pin(async move {
            let response = link.send(&sending, &order, outgoing).await;
            (link, response)
        }));
    }

    fn continue_after(&mut self, head: StreamHead) -> Option<AttemptUpdate> {
        match head {
            StreamHead::Stream(source) => {
                self.watch = SilenceWatch::default();
                self.stage = AttemptStage::Streaming(source);
                Some(AttemptUpdate::Opened)
            }
            StreamHead::Other(response) => {
                self.stage = AttemptStage::ReadingResponse(response);
                None
            }
        }
    }

    fn check_silence(
        &mut self,
        gateway: &Arc<Gateway>,
        request: &AdmittedRequest,
    ) -> Option<AttemptUpdate> {
        let has_started = match &self.stage {
            AttemptStage::Connecting(_) => return None,
            AttemptStage::Waiting(_) if !request.is_probe && gateway.is_quarantined(request) => {
                let failure = AttemptFailure::unknown("quarantined");
                return Some(AttemptUpdate::Failed(failure));
            }
            AttemptStage::Waiting(_) | AttemptStage::ReadingResponse(_) => false,
            AttemptStage::Streaming(source) => source.event_count > 0,
        };
        let limit = silence_limit(request, has_started);
        let epoch = self.target.epoch();
        match self
            .watch
            .check(&self.in_flight, self.last_seen_at, limit, epoch)
        {
            Silence::Normal => None,
            Silence::Suspicious => {
                gateway.suspect(request, &self.target, self.last_seen_at);
                if let Some(node) = self.source().and_then(|it| it.link.forwarder()) {
                    gateway.check_forwarder(node);
                }
                None
            }
            Silence::TooLong => Some(AttemptUpdate::Silent),
        }
    }
}
