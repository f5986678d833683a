//! The status that nodes send each other.

use cuminlb_events::HybridTime;
use cuminlb_routing::Suspect;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a node reports about itself. This is soft state, on which the nodes do not agree.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatus {
    /// The node that reports.
    pub node: NodeId,
    /// Distinguishes this start of the node from earlier ones.
    pub incarnation: Incarnation,
    /// The time of the node's hybrid logical clock.
    pub time: HybridTime,
    /// The active configuration of the node.
    pub config: ConfigVersion,
    /// The newest configuration that the node knows to be committed.
    pub newest_config: ConfigVersion,
    /// The age of the node's knowledge of the table, read by itself or relayed by a peer; `None`
    /// if it has none since its start.
    pub table_age_ms: Option<Millis>,
    /// Whether the node has read the table since its start but no longer gets responses from it.
    pub is_silent: bool,
    /// The newest requests that are suspected of crashing the groups that run them.
    pub suspects: Vec<Suspect>,
}
