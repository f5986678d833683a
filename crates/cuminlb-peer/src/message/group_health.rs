//! The result of probing a group whose head is silent.

use serde::{Deserialize, Serialize};

/// The state of a group according to its members, which a node probed because the head was silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum GroupHealth {
    /// All members hold their seats; the head is merely busy.
    Intact,
    /// All members hold their seats, but one of them slows the others down.
    Straggling,
    /// A member is lost, so the group makes no more progress.
    MemberLost,
    /// The head itself is lost.
    HeadLost,
}

impl GroupHealth {
    /// Returns whether the group can't continue.
    pub const fn is_lost(self) -> bool {
        matches!(self, Self::MemberLost | Self::HeadLost)
    }
}
