//! The number of requests that are in flight at an instance.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The number of requests of one or more nodes that are in flight at an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InFlightCount {
    /// The instance.
    pub instance: InstanceId,
    /// The number of requests.
    pub requests: u32,
}
