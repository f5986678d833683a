//! Sends one request to the leader of a group and reads a whole answer.

use bytes::Bytes;
use cuminlb_caller::CallerRequest;
use cuminlb_types::prelude::*;
use cuminlb_upstream::{
    EPOCH_HEADER, GROUP_HEADER, REQUEST_ID_HEADER, UpstreamClient, UpstreamError,
};
use http::header::{CONTENT_LENGTH, HOST, HeaderName, HeaderValue, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use smol_str::ToSmolStr;

use super::held_slot::HeldSlot;

/// The largest whole answer that is passed on.
const MAX_ANSWER_LEN_BYTES: usize = 64 << 20;

/// The headers that belong to one connection and are not passed on.
const HOP_HEADERS: [HeaderName; 7] = [
    http::header::CONNECTION,
    http::header::PROXY_AUTHENTICATE,
    http::header::PROXY_AUTHORIZATION,
    http::header::TE,
    http::header::TRAILER,
    http::header::TRANSFER_ENCODING,
    http::header::UPGRADE,
];

/// Sends a request with the group's epoch and returns the head of the answer.
pub(super) async fn send(
    upstreams: &UpstreamClient,
    request: &CallerRequest,
    slot: &HeldSlot,
    path: &str,
) -> Result<Response<Incoming>, UpstreamError> {
    let mut upstream_request = Request::new(Full::new(request.body.clone()));
    *upstream_request.method_mut() = request.method.clone();
    let uri = format!("http://{}{path}", slot.leader);
    *upstream_request.uri_mut() =
        uri.parse()
            .map_err(|error: http::uri::InvalidUri| UpstreamError::NotSent {
                reason: error.to_smolstr(),
            })?;
    *upstream_request.headers_mut() = upstream_headers(request, slot);
    upstreams.send(upstream_request).await
}

fn upstream_headers(request: &CallerRequest, slot: &HeldSlot) -> HeaderMap {
    let mut headers = without_hop_headers(&request.headers);
    headers.remove(HOST);
    headers.remove(CONTENT_LENGTH);
    headers.remove(http::header::AUTHORIZATION);
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

/// Returns the headers of an answer that are passed on to the caller.
pub(super) fn answer_headers(headers: &HeaderMap) -> HeaderMap {
    let mut headers = without_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
    headers.remove(TRANSFER_ENCODING);
    headers
}

fn without_hop_headers(headers: &HeaderMap) -> HeaderMap {
    let mut kept = headers.clone();
    for name in &HOP_HEADERS {
        kept.remove(name);
    }
    kept
}

/// Reads a whole answer; each frame may take `idle_ms`.
pub(super) async fn read_whole(
    response: Response<Incoming>,
    idle_ms: Millis,
) -> Result<Bytes, UpstreamError> {
    let mut body = Limited::new(response.into_body(), MAX_ANSWER_LEN_BYTES);
    let mut whole = Vec::new();
    loop {
        let frame = tokio::time::timeout(idle_ms.duration(), body.frame()).await;
        match frame.map_err(|_| UpstreamError::Silent { idle_ms })? {
            None => return Ok(whole.into()),
            Some(Ok(frame)) => whole.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Some(Err(error)) => {
                return Err(UpstreamError::Broken {
                    reason: error.to_smolstr(),
                });
            }
        }
    }
}
