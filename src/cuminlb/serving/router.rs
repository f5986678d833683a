//! [`Router`].

use std::sync::Arc;

use cuminlb_caller::{CallTarget, CallerAnswer, CallerHandler, CallerRequest};
use cuminlb_config::{ApiKeyDigest, FleetSpec, ServiceKind, ServiceSpec, TeamSpec};
use cuminlb_routing::{Admission, AdmissionLimits, AdmissionPermit, Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use cuminlb_upstream::UpstreamError;
use http::header::CONTENT_TYPE;
use smol_str::{SmolStr, ToSmolStr};
use tokio::time::Instant;

use super::exchange::{answer_headers, read_whole, send};
use super::request_trail::RequestTrail;
use super::slot_client::SlotClient;
use super::stream_relay::StreamRelay;
use crate::node::Node;

/// The number of tries of an idempotent request.
const MAX_TRIES: u32 = 3;

/// Leads callers' requests to upstreams.
#[derive(Clone)]
pub struct Router {
    node: Arc<Node>,
    admission: Admission,
}

/// Where a request goes: the service and the path at the upstream.
struct Destination {
    service: ServiceSpec,
    path: SmolStr,
}

impl Router {
    /// Routes for a node.
    pub fn new(node: Arc<Node>) -> Self {
        let limits = AdmissionLimits {
            max_inside: node.settings.limits.max_queued,
        };
        let admission = Admission::new(&limits);
        Self { node, admission }
    }

    async fn route(&self, request: CallerRequest) -> Result<CallerAnswer, Refusal> {
        let resolved = self.resolve(&request);
        let (team, destination) =
            resolved.inspect_err(|refusal| self.note_rejected(&request.id, refusal))?;
        let service = destination.service.id.clone();
        let node = Arc::clone(&self.node);
        let mut trail = RequestTrail::new(node, request.id.clone(), team.id, service.clone());
        let admitted = self
            .check_state()
            .and_then(|()| self.admission.enter(&service));
        let answer = match admitted {
            Ok(permit) => {
                self.exchange(&request, &destination, &mut trail, permit)
                    .await
            }
            Err(refusal) => Err(refusal),
        };
        match answer {
            Ok(Exchanged::Stream(response, slot, permit)) => {
                let status = response.status();
                let headers = answer_headers(response.headers());
                let idle_ms = self.node.settings.limits.stream_idle_ms;
                let relay = StreamRelay::new(response.into_body(), idle_ms, trail, slot, permit);
                Ok(CallerAnswer::Stream {
                    status,
                    headers,
                    parts: relay.into_parts(),
                })
            }
            Ok(Exchanged::Whole(answer)) => {
                trail.answered();
                Ok(answer)
            }
            Err(refusal) => {
                trail.refused(&refusal);
                Err(refusal)
            }
        }
    }

    /// Finds the team by the key and the service by the model or the path.
    fn resolve(&self, request: &CallerRequest) -> Result<(TeamSpec, Destination), Refusal> {
        let view = self.node.view.borrow();
        let not_run = |kind| Refusal::not_run(kind);
        let spec = view
            .spec()
            .ok_or_else(|| not_run(RefusalKind::ConfigUnconfirmed))?;
        let digest = request.api_key.as_deref().map(ApiKeyDigest::of_key);
        let team = spec.teams.iter().find(|team| Some(team.api_key) == digest);
        let team = team
            .cloned()
            .ok_or_else(|| not_run(RefusalKind::Unauthenticated))?;
        Ok((team, destination(spec, request)?))
    }

    fn check_state(&self) -> Result<(), Refusal> {
        if self.node.is_draining() {
            return Err(Refusal::not_run(RefusalKind::Draining));
        }
        if !self.node.is_config_confirmed() {
            return Err(Refusal::not_run(RefusalKind::ConfigUnconfirmed));
        }
        Ok(())
    }

    /// Sends the request, again after a failure where that is safe.
    async fn exchange(
        &self,
        request: &CallerRequest,
        destination: &Destination,
        trail: &mut RequestTrail,
        permit: AdmissionPermit,
    ) -> Result<Exchanged, Refusal> {
        let limits = &self.node.settings.limits;
        let idempotent = destination
            .service
            .is_idempotent(request.method.as_str(), &destination.path);
        let queue_deadline = Instant::now() + limits.max_queue_wait_ms.duration();
        let mut tries = 1;
        loop {
            let slots = SlotClient {
                node: &self.node,
                service: &destination.service.id,
            };
            let mut slot = slots.acquire(queue_deadline).await?;
            if !slot.start_use() {
                continue;
            }
            trail.sent(slot.group(), slot.epoch);
            let sent = send(&self.node.upstreams, request, &slot, &destination.path).await;
            let error = match sent {
                Ok(response) if is_stream(&response) => {
                    return Ok(Exchanged::Stream(response, slot, permit));
                }
                Ok(response) => {
                    let status = response.status();
                    let headers = answer_headers(response.headers());
                    match read_whole(response, limits.stream_idle_ms).await {
                        Ok(body) => {
                            slot.finish();
                            let answer = CallerAnswer::Whole {
                                status,
                                headers,
                                body,
                            };
                            return Ok(Exchanged::Whole(answer));
                        }
                        Err(error) => error,
                    }
                }
                Err(error) => error,
            };
            if !error.may_have_run() {
                slot.finish();
            }
            let repeatable = idempotent || !error.may_have_run();
            if !repeatable || tries >= MAX_TRIES {
                return Err(upstream_refusal(&error));
            }
            tries += 1;
        }
    }
}

enum Exchanged {
    Whole(CallerAnswer),
    Stream(
        http::Response<hyper::body::Incoming>,
        super::held_slot::HeldSlot,
        AdmissionPermit,
    ),
}

fn destination(spec: &FleetSpec, request: &CallerRequest) -> Result<Destination, Refusal> {
    let found = spec
        .services
        .iter()
        .find_map(|service| match (&service.kind, &request.target) {
            (ServiceKind::Model(model), CallTarget::Model(call)) if model.model == call.model => {
                Some(Destination {
                    service: service.clone(),
                    path: request.path.clone(),
                })
            }
            (ServiceKind::Plain(plain), CallTarget::Path) => {
                let path = request.path.strip_prefix(plain.path_prefix.as_str())?;
                let path = match path {
                    "" => "/".into(),
                    path if path.starts_with('/') => path.into(),
                    _ => return None,
                };
                Some(Destination {
                    service: service.clone(),
                    path,
                })
            }
            _ => None,
        });
    found.ok_or_else(|| {
        let name = match &request.target {
            CallTarget::Model(call) => call.model.clone(),
            CallTarget::Path => request.path.clone(),
        };
        Refusal::not_run(RefusalKind::UnknownService { name })
    })
}

fn is_stream<B>(response: &http::Response<B>) -> bool {
    let content_type = response.headers().get(CONTENT_TYPE);
    content_type.is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"))
}

fn upstream_refusal(error: &UpstreamError) -> Refusal {
    let kind = RefusalKind::UpstreamFailed {
        reason: error.to_smolstr(),
    };
    if error.may_have_run() {
        Refusal::unknown(kind)
    } else {
        Refusal::not_run(kind)
    }
}

impl CallerHandler for Router {
    async fn handle(&self, request: CallerRequest) -> CallerAnswer {
        self.route(request)
            .await
            .unwrap_or_else(CallerAnswer::Refused)
    }

    fn note_rejected(&self, request: &RequestId, refusal: &Refusal) {
        self.node.note_rejected(request, refusal);
    }

    fn new_request_id(&self) -> RequestId {
        self.node.new_request_id()
    }

    fn max_body_bytes(&self) -> ByteCount {
        self.node.settings.limits.max_body_bytes
    }

    fn receive_timeout_ms(&self) -> Millis {
        self.node.settings.limits.receive_timeout_ms
    }

    fn is_ready(&self) -> bool {
        self.node.is_ready()
    }
}
