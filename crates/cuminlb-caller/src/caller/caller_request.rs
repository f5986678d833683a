//! A decoded request of a caller, and the parsing of its headers.

use bytes::Bytes;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::{HeaderMap, Method};
use smol_str::{SmolStr, ToSmolStr};

use super::CallTarget;

/// The header whose value is the same for all retries of one request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header with the caller's timeout in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// A decoded request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that this node assigned to the request.
    pub id: RequestId,
    /// The API key from the `Authorization` header, if there is one.
    pub api_key: Option<SmolStr>,
    /// The key that identifies retries of the same request.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How long the caller waits for the response.
    pub timeout_ms: Option<Millis>,
    /// The kind of service that is addressed.
    pub target: CallTarget,
    /// The HTTP method.
    pub method: Method,
    /// The path and the query.
    pub path: SmolStr,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Returns the API key from `Authorization: Bearer KEY`.
pub(super) fn api_key(headers: &HeaderMap) -> Option<SmolStr> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(SmolStr::new)
}

/// Parses an optional header; the refusal names the header if its value is invalid.
pub(super) fn parse_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let bad_request = |reason| {
        Refusal::not_run(RefusalKind::BadRequest {
            field: name,
            reason,
        })
    };
    let value_text = value
        .to_str()
        .map_err(|error| bad_request(error.to_smolstr()))?;
    value_text
        .parse()
        .map(Some)
        .map_err(|error: T::Err| bad_request(error.to_smolstr()))
}
