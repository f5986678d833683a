//! One entry of the timeline.

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EventKind, HybridTime};

/// A decision of a node, with its time and origin.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// The timestamp, which orders the events of all nodes causally.
    pub time: HybridTime,
    /// The node that made the decision.
    pub node: NodeId,
    /// The availability zone of that node.
    pub zone: ZoneId,
    /// The decision and its reason.
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} {}", self.time, self.zone, self.node, self.kind)
    }
}
