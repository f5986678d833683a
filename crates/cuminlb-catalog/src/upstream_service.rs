//! A service that routes forward requests to.

use cuminlb_types::prelude::*;

use crate::EngineSpec;

/// A service whose instances run requests.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamService {
    /// The id of the service.
    pub id: ServiceId,
    /// The maximum number of connections of all nodes together to one instance; zero means no
    /// limit.
    pub max_connections: u32,
    /// The requests per second that an instance accepts during its cold start; zero means no limit.
    pub cold_rate: RequestsPerSecond,
    /// The models and capacity of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
