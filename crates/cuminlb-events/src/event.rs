//! [`Event`].

use std::fmt;

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{EventKind, HybridTime};

/// One decision: when, where and what.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Event {
    /// The place in the causal order over all nodes.
    pub time: HybridTime,
    /// The node that decided.
    pub node: NodeId,
    /// The availability zone of that node.
    pub zone: ZoneId,
    /// What was decided and why.
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {} {}", self.time, self.zone, self.node, self.kind)
    }
}
