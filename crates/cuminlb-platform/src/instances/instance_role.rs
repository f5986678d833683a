//! The role of an instance in the instance list.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What runs on an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// A node of this system; the node id equals the instance id.
    Node,
    /// An engine or a worker of a service.
    Upstream {
        /// The service.
        service: ServiceId,
    },
}
