//! Whether an instance or the link of this node is at fault.

use super::SecondOpinion;

/// Whether an instance that this node does not reach is lost, or only the link of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceVerdict {
    /// The instance is lost.
    InstanceLost,
    /// Another node reaches the instance.
    LinkLost,
    /// The other nodes do not know. The instance must not be taken for lost.
    Undecided,
}

impl InstanceVerdict {
    /// Judges an instance by the opinions of the nodes that have responded.
    ///
    /// One node that reaches it outweighs all others. If no node has responded, what this node has
    /// seen itself is all that is known.
    pub fn judge(opinions: &[SecondOpinion]) -> Self {
        if opinions.contains(&SecondOpinion::Reached) {
            Self::LinkLost
        } else if opinions.is_empty() || opinions.contains(&SecondOpinion::Lost) {
            Self::InstanceLost
        } else {
            Self::Undecided
        }
    }
}
