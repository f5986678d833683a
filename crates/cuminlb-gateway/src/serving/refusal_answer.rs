//! Turns a refusal into an answer.

use cuminlb_caller::RefusalBody;
use cuminlb_catalog::WireFormat;
use cuminlb_routing::Refusal;
use cuminlb_types::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Response, StatusCode};

use super::answer_body::{AnswerBody, whole_body};

/// Returns the answer that says a refusal.
pub(super) fn refusal_answer(
    wire: &dyn WireFormat,
    refusal: &Refusal,
    request: Option<&RequestId>,
) -> Response<AnswerBody> {
    let body = match request {
        Some(request) => RefusalBody::new(refusal, request).to_json(),
        None => String::new(),
    };
    let mut answer = Response::new(whole_body(body));
    let status = StatusCode::from_u16(refusal.kind.status());
    *answer.status_mut() = status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    *answer.headers_mut() = wire.node_response_headers(request, refusal.retry_after_ms);
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, json);
    answer
}
