//! [`UpstreamService`].

use cuminlb_types::prelude::*;

use crate::EngineSpec;

/// A service whose instances run requests.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamService {
    /// The service.
    pub id: ServiceId,
    /// The connections that one instance accepts from all nodes together; zero means no bound.
    pub max_connections: u32,
    /// The requests a second that an instance bears while it is cold; zero means no bound.
    pub cold_rate: RequestsPerSecond,
    /// How its instances serve models in groups; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}
