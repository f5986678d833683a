//! [`admit`].

use std::time::Duration;

use bytes::Bytes;
use cuminlb_catalog::{Catalog, Team};
use cuminlb_routing::{Refusal, RefusalKind};
use cuminlb_types::prelude::*;
use http::Request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use smol_str::ToSmolStr;
use tokio::time::{Instant, timeout_at};

use super::ask::Ask;
use crate::gateway::Gateway;

/// How long a caller waits that does not say so.
const DEFAULT_PATIENCE_MS: Millis = Millis(30_000);

/// When a caller that came before this node knew the catalog should come back.
const NO_CATALOG_RETRY_MS: Millis = Millis(300);

/// Reads a request and finds out where it goes, or why it can't.
///
/// # Errors
///
/// Returns the refusal, with the id of the request as far as it was read.
pub(super) async fn admit(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<Ask, (Refusal, Option<RequestId>)> {
    let came_at = Instant::now();
    let (parts, body) = request.into_parts();
    let head = gateway.edges.wire.read_request(&parts).map_err(|error| {
        let reason = error.to_smolstr();
        let field = "headers";
        (
            Refusal::not_run(RefusalKind::BadRequest { field, reason }),
            None,
        )
    })?;
    let refuse = |kind| (Refusal::not_run(kind), Some(head.id.clone()));
    let Some(catalog) = gateway.knowledge.catalog() else {
        let (refusal, id) = refuse(RefusalKind::ConfigUnconfirmed);
        return Err((refusal.with_retry_after(NO_CATALOG_RETRY_MS), id));
    };
    let path = parts.uri.path();
    let route = catalog.route(&head.host, path).ok_or_else(|| {
        let name = path.to_smolstr();
        refuse(RefusalKind::UnknownService { name })
    })?;
    let team = team_of(&catalog, &head.key);
    if team.is_none() && catalog.requires_keys() && !route.allows_anonymous {
        return Err(refuse(RefusalKind::Unauthenticated));
    }
    let caller_timeout_ms = head.caller_timeout_ms.unwrap_or(DEFAULT_PATIENCE_MS);
    let ends_at = came_at + caller_timeout_ms.min(route.timeout_ms).duration();
    let body = read_body(body, catalog.bounds.max_body_bytes, ends_at)
        .await
        .map_err(&refuse)?;
    let Some(service) = route.pick_service(&mut rand::rng()).cloned() else {
        let name = path.to_smolstr();
        return Err(refuse(RefusalKind::UnknownService { name }));
    };
    let route = std::sync::Arc::clone(route);
    Ok(Ask {
        parts,
        head,
        body,
        route,
        service,
        team,
        came_at,
        ends_at,
    })
}

fn team_of(catalog: &Catalog, key: &Option<cuminlb_catalog::ApiKey>) -> Option<Team> {
    catalog.team(key.as_ref()?).cloned()
}

/// Reads a body, which must be whole when half of the request's time is over.
async fn read_body(
    body: Incoming,
    max_bytes: ByteCount,
    ends_at: Instant,
) -> Result<Bytes, RefusalKind> {
    let max_len = usize::try_from(max_bytes.get()).unwrap_or(usize::MAX);
    let start = Instant::now();
    let time: Duration = ends_at.saturating_duration_since(start).mul_f64(0.5);
    match timeout_at(start + time, Limited::new(body, max_len).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RefusalKind::BodyTooLarge { max_bytes })
        }
        Ok(Err(error)) => Err(RefusalKind::BadRequest {
            field: "body",
            reason: error.to_smolstr(),
        }),
        Err(_elapsed) => Err(RefusalKind::ReceiveTimeout {
            timeout_ms: time.into(),
        }),
    }
}
