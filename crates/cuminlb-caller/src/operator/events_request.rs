//! [`EventsRequest`].

use cuminlb_events::EventFilter;
use serde::{Deserialize, Serialize};

/// Asks for the newest events of all nodes, merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventsRequest {
    /// Which events.
    pub filter: EventFilter,
    /// How many of each node at most.
    pub limit: u32,
}
