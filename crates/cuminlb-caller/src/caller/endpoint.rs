//! The HTTP endpoint for callers' requests: decodes them and encodes the responses.

use std::convert::Infallible;

use bytes::Bytes;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use futures_util::StreamExt;
use futures_util::future::ready;
use http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use http::{HeaderMap, StatusCode};
use salvo::prelude::*;
use smol_str::{SmolStr, ToSmolStr};

use super::caller_request::{api_key, parse_header};
use super::{
    CallTarget, CallerHandler, CallerRequest, CallerResponse, IDEMPOTENCY_KEY_HEADER, ModelCall,
    RefusalBody, StreamItem, TIMEOUT_HEADER,
};

/// The response header with the id of the request.
const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// The paths of the chat and completion API.
const MODEL_PATHS: [&str; 2] = ["/v1/chat/completions", "/v1/completions"];

/// The maximum length of a request's headers, the sum of all names and values.
const MAX_HEADERS_LEN_BYTES: usize = 16 << 10;

/// Decodes a caller's request, passes it to the handler and encodes the response.
#[derive(Clone, Debug)]
pub(super) struct CallerEndpoint<H> {
    handler: H,
}

impl<H: CallerHandler> CallerEndpoint<H> {
    pub(super) const fn new(handler: H) -> Self {
        Self { handler }
    }

    async fn decode(&self, id: &RequestId, req: &mut Request) -> Result<CallerRequest, Refusal> {
        let headers = req.headers().clone();
        check_headers_len(&headers)?;
        let path: SmolStr = match req.uri().path_and_query() {
            Some(path) => path.as_str().into(),
            None => "/".into(),
        };
        let idempotency_key = parse_header(&headers, IDEMPOTENCY_KEY_HEADER)?;
        let timeout_ms = parse_header(&headers, TIMEOUT_HEADER)?.map(Millis);
        let body = self.read_body(req).await?;
        let target = if MODEL_PATHS.contains(&req.uri().path()) {
            CallTarget::Model(ModelCall::parse(&body)?)
        } else {
            CallTarget::Path
        };
        Ok(CallerRequest {
            id: id.clone(),
            api_key: api_key(&headers),
            idempotency_key,
            timeout_ms,
            target,
            method: req.method().clone(),
            path,
            headers,
            body,
        })
    }

    async fn read_body(&self, req: &mut Request) -> Result<Bytes, Refusal> {
        let max_bytes = self.handler.max_body_bytes();
        let timeout_ms = self.handler.receive_timeout_ms();
        let max_len_bytes = usize::try_from(max_bytes.get()).unwrap_or(usize::MAX);
        let payload = req.payload_with_max_size(max_len_bytes);
        match tokio::time::timeout(timeout_ms.duration(), payload).await {
            Err(_elapsed) => Err(Refusal::not_run(RefusalKind::ReceiveTimeout { timeout_ms })),
            Ok(Ok(body)) => Ok(body.clone()),
            Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => {
                Err(Refusal::not_run(RefusalKind::BodyTooLarge { max_bytes }))
            }
            Ok(Err(error)) => {
                let reason = error.to_smolstr();
                Err(Refusal::not_run(RefusalKind::BadRequest {
                    field: "body",
                    reason,
                }))
            }
        }
    }
}

#[salvo::async_trait]
impl<H: CallerHandler> Handler for CallerEndpoint<H> {
    async fn handle(
        &self,
        req: &mut Request,
        _depot: &mut Depot,
        res: &mut Response,
        _ctrl: &mut FlowCtrl,
    ) {
        let id = self.handler.new_request_id();
        let response = match self.decode(&id, req).await {
            Ok(request) => self.handler.handle(request).await,
            Err(refusal) => {
                self.handler.record_rejection(&id, &refusal);
                CallerResponse::Refused(refusal)
            }
        };
        encode(&id, response, res);
    }
}

fn check_headers_len(headers: &HeaderMap) -> Result<(), Refusal> {
    let sizes = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    if sizes.sum::<usize>() > MAX_HEADERS_LEN_BYTES {
        let max_bytes = ByteCount(MAX_HEADERS_LEN_BYTES as u64);
        return Err(Refusal::not_run(RefusalKind::HeadersTooLarge { max_bytes }));
    }
    Ok(())
}

fn encode(id: &RequestId, response: CallerResponse, res: &mut Response) {
    match response {
        CallerResponse::Complete {
            status,
            headers,
            body,
        } => {
            set_status_and_headers(res, status, headers);
            res.body(body);
        }
        CallerResponse::Stream {
            status,
            headers,
            items,
        } => {
            set_status_and_headers(res, status, headers);
            let id = id.clone();
            res.stream(
                items
                    .filter_map(move |item| ready(encode_item(&id, item).map(Ok::<_, Infallible>))),
            );
        }
        CallerResponse::Refused(refusal) => {
            let status = StatusCode::from_u16(refusal.kind.status());
            let mut headers = HeaderMap::new();
            let content_type = HeaderValue::from_static("application/json");
            headers.insert(http::header::CONTENT_TYPE, content_type);
            if let Some(retry_after_ms) = refusal.retry_after_ms {
                let retry_after_s = retry_after_ms.get().div_ceil(1_000);
                headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
            }
            set_status_and_headers(
                res,
                status.unwrap_or(StatusCode::SERVICE_UNAVAILABLE),
                headers,
            );
            res.body(RefusalBody::new(&refusal, id).to_json());
        }
    }
    if let Ok(value) = HeaderValue::from_str(id.as_str()) {
        res.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
}

fn set_status_and_headers(res: &mut Response, status: StatusCode, headers: HeaderMap) {
    res.status_code(status);
    *res.headers_mut() = headers;
}

/// Returns the bytes to send for an item of the stream; an interruption becomes an SSE event with
/// the refusal.
fn encode_item(id: &RequestId, item: StreamItem) -> Option<Bytes> {
    match item {
        StreamItem::Data(bytes) => Some(bytes),
        StreamItem::End => None,
        StreamItem::Broken(refusal) => {
            let body = RefusalBody::new(&refusal, id).to_json();
            Some(Bytes::from(format!("data: {body}\n\n")))
        }
    }
}
