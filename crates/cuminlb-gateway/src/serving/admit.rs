//! Admission of caller requests: validates a request, finds its route and reads its body.

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

use super::admitted_request::AdmittedRequest;
use super::crash_causes::crash_causes;
use crate::gateway::Gateway;

/// Timeout of a request whose headers state none.
const DEFAULT_TIMEOUT_MS: Millis = Millis(30_000);

/// `Retry-After` of a request that arrives before this node has read a catalog.
const NO_CATALOG_RETRY_AFTER_MS: Millis = Millis(300);

/// Validates a request, resolves its route and service, and reads its body.
///
/// # Errors
///
/// Returns the refusal, and the id of the request if its headers could be read.
pub(super) async fn admit(
    gateway: &Gateway,
    request: Request<Incoming>,
) -> Result<AdmittedRequest, (Refusal, Option<RequestId>)> {
    let received_at = Instant::now();
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
        return Err((refusal.with_retry_after(NO_CATALOG_RETRY_AFTER_MS), id));
    };
    let path = parts.uri.path();
    let route = catalog.route(&head.host, path).ok_or_else(|| {
        let name = path.to_smolstr();
        refuse(RefusalKind::UnknownService { name })
    })?;
    let team = team_for_key(&catalog, &head.key);
    if team.is_none() && catalog.requires_keys() && !route.allows_anonymous {
        return Err(refuse(RefusalKind::Unauthenticated));
    }
    let timeout_ms = head.caller_timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    let deadline = received_at + timeout_ms.min(route.timeout_ms).duration();
    let body = read_body(body, catalog.bounds.max_body_bytes, deadline)
        .await
        .map_err(&refuse)?;
    let Some(service) = route.pick_service(&mut rand::rng()).cloned() else {
        let name = path.to_smolstr();
        return Err(refuse(RefusalKind::UnknownService { name }));
    };
    let route = std::sync::Arc::clone(route);
    let secret = gateway.settings.peer_token.as_str();
    let crash_causes = crash_causes(secret, &head, team.as_ref(), &service, path, &body);
    Ok(AdmittedRequest {
        crash_causes,
        is_probe: false,
        parts,
        head,
        body,
        route,
        service,
        team,
        received_at,
        deadline,
    })
}

fn team_for_key(catalog: &Catalog, key: &Option<cuminlb_catalog::ApiKey>) -> Option<Team> {
    catalog.team(key.as_ref()?).cloned()
}

/// Reads a body. It must be complete within half of the time that remains until the deadline.
async fn read_body(
    body: Incoming,
    max_bytes: ByteCount,
    deadline: Instant,
) -> Result<Bytes, RefusalKind> {
    let max_len = usize::try_from(max_bytes.get()).unwrap_or(usize::MAX);
    let start = Instant::now();
    let read_timeout: Duration = deadline.saturating_duration_since(start).mul_f64(0.5);
    match timeout_at(start + read_timeout, Limited::new(body, max_len).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(RefusalKind::BodyTooLarge { max_bytes })
        }
        Ok(Err(error)) => Err(RefusalKind::BadRequest {
            field: "body",
            reason: error.to_smolstr(),
        }),
        Err(_elapsed) => Err(RefusalKind::ReceiveTimeout {
            timeout_ms: read_timeout.into(),
        }),
    }
}
