//! The membership of an instance in a group.

use cuminlb_types::prelude::*;

use crate::SeatState;

/// The membership of an instance in a group, as the instance reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The group.
    pub group: GroupId,
    /// The epoch of its member list.
    pub epoch: Epoch,
    /// The position in that list; 0 is the head.
    pub rank: u32,
    /// The state of the membership.
    pub state: SeatState,
}
