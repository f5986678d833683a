//! A crash, as nodes tell each other.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::CrashCandidates;

/// A crash, as a node reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The instance.
    pub instance: InstanceId,
    /// The epoch of the group of which it was the head; zero if it served without a group.
    pub epoch: Epoch,
    /// The time since the crash.
    pub age_ms: Millis,
    /// What may have caused it.
    pub candidates: CrashCandidates,
}
