//! [`Seat`].

use cuminlb_types::prelude::*;

use crate::SeatState;

/// The place of an instance in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seat {
    /// The group.
    pub group: GroupId,
    /// The epoch of its list of members.
    pub epoch: Epoch,
    /// The place in that list; 0 is the head.
    pub rank: u32,
    /// How far the instance has got.
    pub state: SeatState,
}
