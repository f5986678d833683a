//! [`GroupStanding`].

/// What the members of a group answered when a node asked them why its head is silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GroupStanding {
    /// All members are in their places; the head is merely busy.
    Intact,
    /// All members are in their places, and one of them holds the others up.
    Straggling,
    /// A member is gone, so the group does nothing more.
    MemberLost,
    /// The head itself is gone.
    HeadLost,
}

impl GroupStanding {
    /// Tells whether the group can't go on.
    pub(super) const fn is_lost(self) -> bool {
        matches!(self, Self::MemberLost | Self::HeadLost)
    }
}
