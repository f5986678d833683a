//! [`answer_request`].

use std::sync::Arc;

use cuminlb_catalog::RouteKind;
use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use log::info;
use tokio::time::Instant;

use super::admit::admit;
use super::answer_body::AnswerBody;
use super::refusal_answer::refusal_answer;
use super::run_plain::run_plain;
use super::run_stream::run_stream;
use crate::gateway::Gateway;
use crate::metrics::RouteLabels;

/// Answers one request of a caller.
pub(super) async fn answer_request(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    gateway.note_caller();
    let mut answer = match admit(gateway, request).await {
        Err((refusal, id)) => {
            gateway.count_request("", refusal.kind.code());
            refuse(gateway, &refusal, id.as_ref(), None)
        }
        Ok(ask) => {
            let id = ask.head.id.clone();
            let came_at = ask.came_at;
            let route = ask.route.name.clone();
            gateway.note_request(&ask.service);
            let answered = match ask.route.kind {
                RouteKind::Idempotent | RouteKind::AtMostOnce => run_plain(gateway, ask).await,
                RouteKind::Stream { .. } => run_stream(gateway, ask).await,
            };
            let labels = RouteLabels::new(&route);
            let first_bytes = gateway.metrics.first_bytes.get_or_create(&labels);
            first_bytes.observe(came_at.elapsed().as_secs_f64());
            match answered {
                Ok(answer) => {
                    gateway.count_request(&route, answer.status().as_str());
                    answer
                }
                Err(refusal) => {
                    gateway.count_request(&route, refusal.kind.code());
                    refuse(gateway, &refusal, Some(&id), Some(came_at))
                }
            }
        }
    };
    if gateway.is_draining() {
        let close = HeaderValue::from_static("close");
        answer.headers_mut().insert(CONNECTION, close);
    }
    answer
}

fn refuse(
    gateway: &Gateway,
    refusal: &Refusal,
    request: Option<&RequestId>,
    came_at: Option<Instant>,
) -> Response<AnswerBody> {
    let age_ms = came_at.map_or(Millis(0), |came_at| came_at.elapsed().into());
    let catalog = gateway.knowledge.catalog().map(|catalog| catalog.version);
    info!(
        request = request.map(RequestId::as_str), code = refusal.kind.code(),
        run_state:% = refusal.run_state, age_ms = age_ms.get(),
        retry_after_ms = refusal.retry_after_ms.map(Millis::get),
        catalog = catalog.map(ConfigVersion::get);
        "request refused: {}", refusal.kind
    );
    refusal_answer(gateway.edges.wire.as_ref(), refusal, request)
}
