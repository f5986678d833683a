//! Builds requests to upstreams, and filters the headers of requests and responses.

use bytes::Bytes;
use cuminlb_caller::CallerRequest;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{
    EPOCH_HEADER, GROUP_HEADER, REQUEST_ID_HEADER, RESUME_HEADER, TIMEOUT_HEADER, UpstreamError,
};
use http::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request};
use http_body_util::Full;
use smol_str::ToSmolStr;

use super::held_slot::HeldSlot;

/// The headers that apply to one connection only and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Builds the request to the leader of the group, with the group's epoch.
pub(super) fn build_upstream_request(
    request: &CallerRequest,
    slot: &HeldSlot,
    path: &str,
    remaining_ms: Millis,
    delivered_chunks: u64,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    let mut upstream_request = Request::new(Full::new(request.body.clone()));
    *upstream_request.method_mut() = request.method.clone();
    let uri = format!("http://{}{path}", slot.leader);
    *upstream_request.uri_mut() =
        uri.parse()
            .map_err(|error: http::uri::InvalidUri| UpstreamError::NotSent {
                reason: error.to_smolstr(),
            })?;
    let mut headers = upstream_headers(request, slot);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(remaining_ms.get()));
    if delivered_chunks > 0 {
        headers.insert(RESUME_HEADER, HeaderValue::from(delivered_chunks));
    }
    *upstream_request.headers_mut() = headers;
    Ok(upstream_request)
}

fn upstream_headers(request: &CallerRequest, slot: &HeldSlot) -> HeaderMap {
    let mut headers = without_hop_by_hop_headers(&request.headers);
    headers.remove(HOST);
    headers.remove(CONTENT_LENGTH);
    headers.remove(http::header::AUTHORIZATION);
    headers.remove(RESUME_HEADER);
    let mut insert = |name: &'static str, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            headers.insert(HeaderName::from_static(name), value);
        }
    };
    insert(REQUEST_ID_HEADER, request.id.as_str());
    insert(GROUP_HEADER, slot.group().as_str());
    insert(EPOCH_HEADER, &slot.epoch.to_smolstr());
    headers
}

/// Returns the headers of a response that are forwarded to the caller.
pub(super) fn response_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = without_hop_by_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers
}

fn without_hop_by_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}
