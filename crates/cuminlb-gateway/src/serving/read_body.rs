//! Reads the bodies of callers' requests.

use std::time::Duration;

use bytes::Bytes;
use cuminlb_routing::{BodyBudget, BudgetError, RefusalKind};
use cuminlb_types::prelude::*;
use http::header::EXPECT;
use http::request;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout, timeout_at};

use crate::collect_body::{CollectError, collect_body};

/// How long the refusal of a request waits at most for the end of its body.
const REFUSED_BODY_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Fraction of the time that the caller waits within which the body must be complete.
const BODY_TIME_FRACTION: f64 = 0.5;

/// Reads a body. It must be complete within half of the time that remains until the deadline.
///
/// # Errors
///
/// Returns the reason for a refusal if the body is too long, late or interrupted, or if the budget has
/// too little left.
pub(super) async fn read_body(
    body: &mut Incoming,
    max_bytes: ByteCount,
    deadline: Instant,
    budget: &BodyBudget,
) -> Result<Bytes, RefusalKind> {
    let start = Instant::now();
    let read_timeout: Duration = deadline
        .saturating_duration_since(start)
        .mul_f64(BODY_TIME_FRACTION);
    let collected = collect_body(body, max_bytes, budget);
    match timeout_at(start + read_timeout, collected).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(CollectError::Budget(BudgetError::TooLong { max_bytes }))) => {
            Err(RefusalKind::BodyTooLarge { max_bytes })
        }
        Ok(Err(CollectError::Budget(_held))) => Err(RefusalKind::BodiesHeld),
        Ok(Err(CollectError::Interrupted(reason))) => Err(RefusalKind::BadRequest {
            field: "body",
            reason,
        }),
        Err(_elapsed) => Err(RefusalKind::ReceiveTimeout {
            timeout_ms: read_timeout.into(),
        }),
    }
}

/// Reads and discards the body of a request that is refused; returns whether it was read to its end.
///
/// A caller that waits for the interim response before it sends its body is not asked for it.
/// `caller_timeout` is how long the caller waits for the refusal, if it is known.
pub(super) async fn discard_body(
    parts: &request::Parts,
    body: Incoming,
    max_bytes: ByteCount,
    caller_timeout: Option<Duration>,
) -> bool {
    if parts.headers.contains_key(EXPECT) {
        return false;
    }
    let mut limited = Limited::new(body, max_len(max_bytes));
    let read_all = async {
        loop {
            match limited.frame().await {
                Some(Ok(_discarded)) => {}
                Some(Err(_)) => return false,
                None => return true,
            }
        }
    };
    let read_timeout = caller_timeout.map_or(REFUSED_BODY_TIMEOUT, |timeout| {
        REFUSED_BODY_TIMEOUT.min(timeout.mul_f64(BODY_TIME_FRACTION))
    });
    timeout(read_timeout, read_all).await.unwrap_or(false)
}

fn max_len(max_bytes: ByteCount) -> usize {
    usize::try_from(max_bytes.get()).unwrap_or(usize::MAX)
}
