//! [`FormingGroup`].

use cuminlb_types::prelude::*;

/// A group whose members the leader has told to join and that does not serve yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormingGroup {
    /// The group.
    pub group: GroupId,
    /// The epoch of its list of members.
    pub epoch: Epoch,
    /// The model that it will serve.
    pub model: ModelId,
    /// The members; the first is the head.
    pub members: Vec<InstanceId>,
    /// How many of them load the weights first.
    pub loads: usize,
}
