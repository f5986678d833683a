//! [`EventsReport`].

use cuminlb_events::Event;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Events of all nodes in their causal order.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct EventsReport {
    /// The events.
    pub events: Vec<Event>,
    /// The listed nodes that gave no answer; their events are absent.
    pub silent: Vec<NodeId>,
}
