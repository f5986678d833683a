//! [`EventsRequest`].

use std::collections::BTreeMap;

use cuminlb_events::{EventFilter, HybridTime};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Asks for events of all nodes, merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventsRequest {
    /// Which events.
    pub filter: EventFilter,
    /// How many of each node at most.
    pub limit: u32,
    /// The last event of each node that the reader has; only later ones are returned.
    #[serde(default)]
    pub seen: BTreeMap<NodeId, HybridTime>,
}

impl EventsRequest {
    /// Returns the filter for the events of one node.
    pub fn filter_for(&self, node: &NodeId) -> EventFilter {
        EventFilter {
            after: self.seen.get(node).copied().or(self.filter.after),
            ..self.filter.clone()
        }
    }
}
