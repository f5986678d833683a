//! [`WeightedService`].

use cuminlb_types::prelude::*;

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceId,
    /// The share, relative to the other services of the route.
    pub weight: f64,
}
