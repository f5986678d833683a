//! What the selection knows of one group.

use cuminlb_types::prelude::*;

/// One group to which a request may be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupCandidate {
    /// The group.
    pub group: GroupId,
    /// The epoch of the group.
    pub epoch: Epoch,
    /// Whether the group is in the same zone as this node.
    pub is_same_zone: bool,
    /// The estimated fraction of the group's slots that are taken; `None` if it is unknown.
    pub load: Option<Ratio>,
}
