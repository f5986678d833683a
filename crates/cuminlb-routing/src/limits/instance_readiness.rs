//! What an instance states about the requests that it takes.

use tokio::time::Instant;

use super::{Availability, LimitPlace};

/// What an instance states about the requests that it takes, as far as this node's next one is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceReadiness {
    /// Whether it drains or leaves.
    pub is_leaving: bool,
    /// Until when it wants no requests.
    pub retry_at: Option<Instant>,
    /// Whether it is warm, or its rate limit while it is cold leaves a place for this node.
    pub has_cold_capacity: bool,
    /// Whether the rate limit that it states leaves a place for this node.
    pub limit_place: LimitPlace,
}

impl InstanceReadiness {
    /// Decides whether the instance may get a request now. All statements bind.
    pub fn availability(&self) -> Availability {
        if self.is_leaving {
            return Availability::Never;
        }
        match (self.retry_at, self.limit_place) {
            (retry_at, LimitPlace::None(at)) => {
                Availability::Elsewhere(at.max(retry_at.unwrap_or(at)))
            }
            (retry_at, LimitPlace::FreeAt(at)) => Availability::At(at.max(retry_at.unwrap_or(at))),
            (Some(retry_at), LimitPlace::Free) => Availability::At(retry_at),
            (None, LimitPlace::Free) if self.has_cold_capacity => Availability::Now,
            (None, LimitPlace::Free) => Availability::Limited,
        }
    }
}
