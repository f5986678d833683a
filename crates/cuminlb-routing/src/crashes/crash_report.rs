//! What nodes tell each other about crashes.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::{CrashCandidates, CrashCause};

/// The crashes that a node knows of. Times are ages, because the clocks of nodes differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The crashes.
    pub crashes: Vec<ReportedCrash>,
    /// The causes that were once seen to run without a crash.
    pub causes: Vec<CauseReport>,
}

/// A crash, as a node reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The instance.
    pub instance: InstanceId,
    /// The time since the crash.
    pub age_ms: Millis,
    /// What may have caused it.
    pub candidates: CrashCandidates,
}

/// When a cause last ran without a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CauseReport {
    /// The cause.
    pub cause: CrashCause,
    /// The time since an instance last responded to it.
    pub success_age_ms: Millis,
}
