//! [`ServiceReport`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The requests to one service that a node has.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceReport {
    /// The service.
    pub service: ServiceId,
    /// The requests that have been sent to a group and have not ended.
    pub running: u64,
    /// The requests that have not been sent yet.
    pub waiting: u64,
}
