//! [`CallerRequest`].

use bytes::Bytes;
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::{HeaderMap, Method};
use smol_str::{SmolStr, ToSmolStr};

use super::CallTarget;

/// The header by which a caller marks repeats of one request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The header by which a caller says, in milliseconds, how long it will wait.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The id that this node gave to the request.
    pub id: RequestId,
    /// The key that the caller showed.
    pub api_key: Option<SmolStr>,
    /// The mark of repeats.
    pub idempotency_key: Option<IdempotencyKey>,
    /// How long the caller will wait.
    pub timeout_ms: Option<Millis>,
    /// What the caller asks for.
    pub target: CallTarget,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub path: SmolStr,
    /// The headers as they came.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Returns the key that a caller shows as `Authorization: Bearer KEY`.
pub(super) fn api_key(headers: &HeaderMap) -> Option<SmolStr> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    value.strip_prefix("Bearer ").map(SmolStr::new)
}

/// Reads an optional header as a typed value.
pub(super) fn typed_header<T>(headers: &HeaderMap, name: &'static str) -> Result<Option<T>, Refusal>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let bad = |reason| {
        Refusal::not_run(RefusalKind::BadRequest {
            field: name,
            reason,
        })
    };
    let text = value.to_str().map_err(|error| bad(error.to_smolstr()))?;
    text.parse()
        .map(Some)
        .map_err(|error: T::Err| bad(error.to_smolstr()))
}
