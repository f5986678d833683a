//! The query for the events of a node.

use cuminlb_events::EventFilter;
use serde::{Deserialize, Serialize};

/// A query for the newest events of a node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventsQuery {
    /// Selects the events.
    pub filter: EventFilter,
    /// The maximum number of events.
    pub limit: u32,
}
