//! A query for the merged events of all nodes.

use std::collections::BTreeMap;

use cuminlb_events::{EventFilter, HybridTime};
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A query for events of all nodes, merged in causal order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EventsRequest {
    /// The filter that events must match.
    pub filter: EventFilter,
    /// The maximum number of events per node.
    pub limit: u32,
    /// The time of the last event that the reader has of each node; only later ones are returned.
    #[serde(default)]
    pub seen: BTreeMap<NodeId, HybridTime>,
}

impl EventsRequest {
    /// Returns the filter for one node: `seen` takes precedence over the filter's own `after`.
    pub fn filter_for(&self, node: &NodeId) -> EventFilter {
        EventFilter {
            after: self.seen.get(node).copied().or(self.filter.after),
            ..self.filter.clone()
        }
    }
}
