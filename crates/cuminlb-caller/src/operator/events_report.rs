//! The response to a query for events.

use cuminlb_events::Event;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Events of all nodes in causal order.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EventsReport {
    /// The events.
    pub events: Vec<Event>,
    /// The listed nodes that did not respond; their events are missing.
    pub silent: Vec<NodeId>,
}
