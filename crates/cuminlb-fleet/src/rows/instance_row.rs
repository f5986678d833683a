//! The row `instance/INSTANCE`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// The group that an instance is in; an instance without a row is free.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRow {
    /// The service that the instance serves.
    pub service: ServiceId,
    /// The group.
    pub group: GroupId,
    /// The epoch of the group at which the instance joined it or was kept in it.
    pub epoch: Epoch,
}
