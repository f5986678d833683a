//! [`Route`].

use cuminlb_types::prelude::*;
use rand::RngExt;
use smol_str::SmolStr;

use crate::{RouteKind, WeightedService};

/// Where the requests for one host and path go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs.
    pub name: SmolStr,
    /// The host.
    pub host: SmolStr,
    /// The start of the path; it ends with a slash.
    pub prefix: SmolStr,
    /// What may be done with a request more than once.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout_ms: Millis,
    /// The time within which an answer, or its first event, is worth most.
    pub target_latency_ms: Millis,
    /// The most instances that may run one request.
    pub max_tries: u32,
    /// The rank, 0 first.
    pub priority: u8,
    /// Whether callers need no key.
    pub is_open_to_all: bool,
    /// The regions whose instances may run the requests; none named means all.
    pub regions: Vec<RegionId>,
    /// The services and their shares.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Draws the service for one request by the weights.
    pub fn pick_service(&self, rng: &mut impl rand::Rng) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|share| share.weight).sum();
        if total <= 0.0 {
            return None;
        }
        let mut left = rng.random_range(0.0..total);
        for share in &self.services {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        self.services.last().map(|share| &share.service)
    }
}
