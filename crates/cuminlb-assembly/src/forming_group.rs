//! A group between its join orders and the start of serving.

use cuminlb_types::prelude::*;

/// A group whose members have been ordered to join and that does not serve yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormingGroup {
    /// The group.
    pub group: GroupId,
    /// The epoch of its member list.
    pub epoch: Epoch,
    /// The model that it will serve.
    pub model: ModelId,
    /// The members; the first is the head.
    pub members: Vec<InstanceId>,
    /// The number of members that must load the weights first.
    pub loads: usize,
}
