//! [`GroupChoice`].

use cuminlb_types::prelude::*;

/// One group that a request could be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupChoice {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
    /// Whether the group is in the zone of this node.
    pub is_near: bool,
    /// The estimated part of the group's slots that is taken; `None` where that is not known.
    pub load: Option<Ratio>,
}
