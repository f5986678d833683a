//! What nodes tell each other about crashes.

use serde::{Deserialize, Serialize};

use super::{CauseReport, ReportedCrash};

/// The crashes that a node knows of. Times are ages, because the clocks of nodes differ.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CrashReport {
    /// The crashes.
    pub crashes: Vec<ReportedCrash>,
    /// The causes that were once seen to run without a crash.
    pub causes: Vec<CauseReport>,
}
