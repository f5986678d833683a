//! Why a notice did not reach the leader.

use cuminlb_peer::PeerError;
use cuminlb_types::prelude::*;

/// Why a notice did not reach the leader.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum NoticeFailure {
    /// No node is known to lead.
    #[error("no node leads")]
    NoLeader,
    /// The leader is not in the node table.
    #[error("the leader {leader} is not in the node table")]
    Unlisted {
        /// The leader.
        leader: NodeId,
    },
    /// The call to the leader failed.
    #[error("the call to the leader {leader} failed: {error}")]
    Call {
        /// The leader.
        leader: NodeId,
        /// The error of the call.
        error: PeerError,
    },
}
