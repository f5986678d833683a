//! The wire format of the instance list.

use serde::{Deserialize, Serialize};

use super::{InstanceRecord, ListRevision};

/// The instances at one revision of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceListing {
    /// The revision of the list.
    pub revision: ListRevision,
    /// All live and leaving instances.
    pub instances: Vec<InstanceRecord>,
}
