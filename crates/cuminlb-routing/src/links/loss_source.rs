//! Which node told this one that a head is lost.

/// Which node told this one that the head of a group is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossSource {
    /// The relay that has found it lost. It is passed on to the followers of this node.
    Finder,
    /// The relay of this node. It is not passed on.
    OwnRelay,
}
