//! [`PeerStatement`].

use cuminlb_events::HybridTime;
use cuminlb_routing::Suspect;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a node says of itself: soft state, on which nothing is agreed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PeerStatement {
    /// The node.
    pub node: NodeId,
    /// Tells this start of the node from earlier ones.
    pub incarnation: Incarnation,
    /// The time of the node's hybrid clock.
    pub time: HybridTime,
    /// The configuration in force on the node.
    pub config: ConfigVersion,
    /// The newest configuration that the node knows to be committed.
    pub newest_config: ConfigVersion,
    /// The age of the node's knowledge of the table, read by itself or relayed by a peer; `None`
    /// where it has none since its start.
    pub table_age_ms: Option<Millis>,
    /// Whether the node has read the table since its start and hears it no longer.
    pub is_silent: bool,
    /// The newest suspects of crashing what runs them.
    pub suspects: Vec<Suspect>,
}
