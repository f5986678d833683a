//! The path of one caller request from admission to the response.

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
use super::caller_connection::CallerConnection;
use super::refusal_response::refusal_response;
use super::response_body::ResponseBody;
use super::run_plain::run_plain;
use super::run_stream::run_stream;
use crate::gateway::Gateway;
use crate::metrics::RouteLabels;

/// Handles one request of a caller and returns its response.
pub(super) async fn handle_request(
    gateway: &Arc<Gateway>,
    connection: &CallerConnection,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    gateway.record_caller();
    let mut response = match admit(gateway, connection, request).await {
        Err((refusal, id)) => {
            gateway.count_request("", refusal.kind.code());
            refuse(gateway, &refusal, id.as_ref(), None)
        }
        Ok(request) => {
            let id = request.head.id.clone();
            let received_at = request.received_at;
            let route = request.route.name.clone();
            gateway.record_request(&request.service);
            let result = match request.route.kind {
                RouteKind::Idempotent | RouteKind::AtMostOnce => run_plain(gateway, request).await,
                RouteKind::Stream { .. } => run_stream(gateway, request).await,
            };
            let labels = RouteLabels::new(&route);
            let first_byte_latency = gateway.metrics.first_byte_latency.get_or_create(&labels);
            first_byte_latency.observe(received_at.elapsed().as_secs_f64());
            match result {
                Ok(response) => {
                    gateway.count_request(&route, response.status().as_str());
                    response
                }
                Err(refusal) => {
                    gateway.count_request(&route, refusal.kind.code());
                    refuse(gateway, &refusal, Some(&id), Some(received_at))
                }
            }
        }
    };
    if gateway.is_draining() || connection.has_unread_body() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

fn refuse(
    gateway: &Gateway,
    refusal: &Refusal,
    request_id: Option<&RequestId>,
    received_at: Option<Instant>,
) -> Response<ResponseBody> {
    let age_ms = received_at.map_or(Millis(0), |received_at| received_at.elapsed().into());
    let catalog = gateway.knowledge.catalog().map(|catalog| catalog.version);
    info!(
        request = request_id.map(RequestId::as_str), code = refusal.kind.code(),
        run_state:% = refusal.run_state, age_ms = age_ms.get(),
        retry_after_ms = refusal.retry_after_ms.map(Millis::get),
        catalog = catalog.map(ConfigVersion::get);
        "request refused: {}", refusal.kind
    );
    refusal_response(gateway.edges.wire.as_ref(), refusal, request_id)
}
