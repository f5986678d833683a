//! The question whether another node reaches an instance.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::InstanceCheck;

/// Asks a node whether it reaches an instance that the asking node does not reach.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct InstanceQuery {
    /// The instance.
    pub instance: InstanceId,
    /// What it must do.
    pub check: InstanceCheck,
}
