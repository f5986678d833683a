//! [`EventsQuery`].

use cuminlb_events::EventFilter;
use serde::{Deserialize, Serialize};

/// Asks a node for its newest events.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventsQuery {
    /// Which events.
    pub filter: EventFilter,
    /// How many at most.
    pub limit: u32,
}
