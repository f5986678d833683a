//! The section of a node's report on one service.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The requests to one service at a node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceId,
    /// The number of requests that were sent to a group and have not ended.
    pub running: u64,
    /// The number of requests that have not been sent yet.
    pub waiting: u64,
}
