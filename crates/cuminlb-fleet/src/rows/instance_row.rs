//! [`InstanceRow`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Which group an instance is in; an instance without a row is free.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRow {
    /// The service that the instance serves.
    pub service: ServiceId,
    /// The group.
    pub group: GroupId,
    /// The epoch at which the instance joined or stayed.
    pub epoch: Epoch,
}
