//! A caller's request whose head the catalog allows, before its body was read.

use std::sync::Arc;

use cuminlb_catalog::{RequestHead, Route, Team};
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::request;
use log::debug;
use smol_str::ToSmolStr;
use tokio::time::Instant;

use super::no_catalog_refusal::no_catalog_refusal;
use super::request_deadline::RequestDeadline;
use crate::gateway::Gateway;

/// Timeout of a request whose headers state none.
const DEFAULT_TIMEOUT_MS: Millis = Millis(30_000);

/// How much a head may exceed its limit, since callers may count differently.
pub(super) const HEAD_TOLERANCE_BYTES: u64 = 8 << 10;

/// The separators of a header: a colon and the end of its line.
const HEADER_SEPARATOR_BYTES: usize = 3;

/// The values of a request's head, and what the catalog says about it.
#[derive(Clone, Debug)]
pub(super) struct ExaminedRequest {
    pub(super) head: RequestHead,
    pub(super) route: Arc<Route>,
    /// The team that owns the caller's key.
    pub(super) team: Option<Team>,
    /// When the caller must have its response.
    pub(super) deadline: RequestDeadline,
    pub(super) max_body_bytes: ByteCount,
}

impl ExaminedRequest {
    /// Validates the head of a request and resolves its route and team.
    ///
    /// # Errors
    ///
    /// Returns the refusal, and the id of the request if its headers could be read.
    pub(super) fn examine(
        gateway: &Gateway,
        parts: &request::Parts,
        received_at: Instant,
    ) -> Result<Self, (Refusal, Option<RequestId>)> {
        let head = gateway.edges.wire.read_request(parts).map_err(|error| {
            let reason = error.to_smolstr();
            let field = "headers";
            (
                Refusal::not_run(RefusalKind::BadRequest { field, reason }),
                None,
            )
        })?;
        let refuse = |kind| (Refusal::not_run(kind), Some(head.id.clone()));
        let Some(catalog) = gateway.knowledge.catalog() else {
            let refusal = no_catalog_refusal(gateway.started_at.elapsed());
            return Err((refusal, Some(head.id)));
        };
        let max_bytes = catalog.bounds.max_head_bytes;
        if head_bytes(parts) > max_bytes.get().saturating_add(HEAD_TOLERANCE_BYTES) {
            return Err(refuse(RefusalKind::HeadersTooLarge { max_bytes }));
        }
        let path = parts.uri.path();
        let route = catalog.route(&head.host, path).ok_or_else(|| {
            let name = path.to_smolstr();
            refuse(RefusalKind::UnknownService { name })
        })?;
        let route = Arc::clone(route);
        let team = catalog
            .authenticate(&head.credentials, &route)
            .map_err(|error| {
                debug!(request:% = head.id, route:% = route.name; "request refused: {error}");
                refuse(RefusalKind::Unauthenticated)
            })?
            .cloned();
        let timeout_ms = head.caller_timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
        let deadline = RequestDeadline::new(
            Arc::clone(&gateway.knowledge),
            gateway.drain.clone(),
            Arc::clone(&route),
            received_at,
            timeout_ms.duration(),
        );
        Ok(Self {
            head,
            route,
            team,
            deadline,
            max_body_bytes: catalog.bounds.max_body_bytes,
        })
    }
}

/// Returns the size of a head without optional spaces.
fn head_bytes(parts: &request::Parts) -> u64 {
    let target = parts.uri.path_and_query();
    let target_len = target.map_or(0, |target| target.as_str().len());
    let headers = parts
        .headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.as_bytes().len() + HEADER_SEPARATOR_BYTES);
    let len = parts.method.as_str().len() + target_len + headers.sum::<usize>();
    u64::try_from(len).unwrap_or(u64::MAX)
}
