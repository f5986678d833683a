//! The numbers of nodes that decisions about an outage require.

/// Computes how many of the listed nodes a decision requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    listed: usize,
}

impl Quorum {
    /// Creates the quorum of a list of `listed` nodes.
    pub const fn of(listed: usize) -> Self {
        Self { listed }
    }

    /// Returns the number of nodes that must report silence to extend a node's right to act:
    /// more than half.
    pub const fn to_extend(self) -> usize {
        self.listed / 2 + 1
    }

    /// Returns the number of nodes that must be notified before a right is revoked: enough that
    /// every set of nodes that could extend another node's right contains at least one of them.
    pub const fn to_revoke(self) -> usize {
        if self.listed == 0 {
            return 1;
        }
        self.listed.div_ceil(2)
    }
}
