//! A route from a host and path prefix to services.

use cuminlb_types::prelude::*;
use rand::RngExt;
use smol_str::SmolStr;

use crate::{RouteKind, WeightedService};

/// The services and rules for the requests to one host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in log lines.
    pub name: SmolStr,
    /// The host.
    pub host: SmolStr,
    /// The path prefix, which ends with a slash.
    pub prefix: SmolStr,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// The maximum time that a caller waits.
    pub timeout_ms: Millis,
    /// The target latency of a response, or of its first event.
    pub target_latency_ms: Millis,
    /// The maximum number of instances that may run one request.
    pub max_attempts: u32,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// Whether callers may omit a key.
    pub allows_anonymous: bool,
    /// The regions whose instances may run the requests; an empty list allows all regions.
    pub regions: Vec<RegionId>,
    /// The services and their weights.
    pub services: Vec<WeightedService>,
}

impl Route {
    /// Selects a service for one request at random, in proportion to the weights. Returns `None` if
    /// the total weight is not positive or not a finite number.
    pub fn pick_service(&self, rng: &mut impl rand::Rng) -> Option<&ServiceId> {
        let total: f64 = self.services.iter().map(|weighted| weighted.weight).sum();
        if total <= 0.0 || !total.is_finite() {
            return None;
        }
        let mut remaining = rng.random_range(0.0..total);
        for weighted in &self.services {
            if remaining < weighted.weight {
                return Some(&weighted.service);
            }
            remaining -= weighted.weight;
        }
        self.services.last().map(|weighted| &weighted.service)
    }
}
