//! A crash of an instance and what may have caused it.

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::CrashCandidates;

/// A crash of an instance, as all nodes together know it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The instance.
    pub instance: InstanceId,
    /// The epoch of the group of which it was the head; zero if it served without a group.
    pub epoch: Epoch,
    /// When the first node lost its connection.
    pub at: Instant,
    /// What may have caused it.
    pub candidates: CrashCandidates,
}
