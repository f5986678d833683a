//! [`Quorum`].

/// How many of the listed nodes are needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quorum {
    listed: usize,
}

impl Quorum {
    /// Counts against a list of nodes.
    pub const fn of(listed: usize) -> Self {
        Self { listed }
    }

    /// Returns the number of nodes whose silence covers a node: more than half.
    pub const fn to_cover(self) -> usize {
        self.listed / 2 + 1
    }

    /// Returns the number of nodes that must be told before a right is taken away: so many that
    /// at least one of them is in any group of nodes that could cover another.
    pub const fn to_take_away(self) -> usize {
        if self.listed == 0 {
            return 1;
        }
        self.listed.div_ceil(2)
    }
}
