//! The load that a node reports to a peer.

use cuminlb_routing::InFlightCount;
use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::LoadScope;

/// The requests in flight at instances, as a node reports them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadReport {
    /// The reporting node.
    pub node: NodeId,
    /// Whose requests are counted.
    pub scope: LoadScope,
    /// The number of requests at each instance that has any.
    pub counts: Vec<InFlightCount>,
}
