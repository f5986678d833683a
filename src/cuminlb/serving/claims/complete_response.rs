//! A complete response, and its conversion from and to the record in the claim.

use bytes::Bytes;
use cuminlb_fleet::rows::{RecordedBody, RecordedResponse};
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

/// The header that marks a response as that of an earlier request with the same key.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotency-replayed");

/// A response whose body was read completely.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CompleteResponse {
    /// Returns the part of the response that is recorded for retries of the caller.
    pub fn to_recorded(&self) -> RecordedResponse {
        let content_type = self.headers.get(CONTENT_TYPE);
        RecordedResponse {
            status: self.status.as_u16(),
            content_type: content_type.and_then(|value| value.to_str().ok().map(Into::into)),
            body: RecordedBody::of_body(&self.body),
        }
    }

    /// Returns the recorded response, which is replayed to a retry of the caller.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] that states that the request has run, if its body was not kept.
    pub fn from_recorded(recorded: &RecordedResponse) -> Result<Self, Refusal> {
        let body = match &recorded.body {
            RecordedBody::Text(text) => Bytes::from(text.clone()),
            RecordedBody::Binary(bytes) => Bytes::from(bytes.clone()),
            RecordedBody::NotKept { len_bytes } => {
                return Err(Refusal::ran(RefusalKind::OutcomeNotKept {
                    status: recorded.status,
                    len_bytes: ByteCount(*len_bytes),
                }));
            }
        };
        let mut headers = HeaderMap::new();
        headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        let content_type = recorded.content_type.as_deref();
        if let Some(Ok(value)) = content_type.map(HeaderValue::from_str) {
            headers.insert(CONTENT_TYPE, value);
        }
        Ok(Self {
            status: StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK),
            headers,
            body,
        })
    }
}
