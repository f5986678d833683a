//! Converts a refusal into a response to the caller.

use cuminlb_caller::RefusalBody;
use cuminlb_catalog::WireFormat;
use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use super::response_body::{ResponseBody, full_body};

/// Returns the response that reports a refusal. Its body is empty if the id of the request is
/// unknown.
pub(super) fn refusal_response(
    wire: &dyn WireFormat,
    refusal: &Refusal,
    request_id: Option<&RequestId>,
) -> Response<ResponseBody> {
    let body = match request_id {
        Some(request_id) => RefusalBody::new(refusal, request_id).to_json(),
        None => String::new(),
    };
    let mut response = Response::new(full_body(body));
    let status = StatusCode::from_u16(refusal.kind.status());
    *response.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *response.headers_mut() = wire.node_response_headers(request_id, refusal.retry_after_ms);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
