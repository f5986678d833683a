//! A service of a route with its weight.

use cuminlb_types::prelude::*;

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// The weight relative to the other services of the route.
    pub weight: f64,
}
