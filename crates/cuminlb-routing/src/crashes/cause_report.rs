//! A cause that ran without a crash, as nodes tell each other.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

use super::CrashCause;

/// When a cause last ran without a crash.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CauseReport {
    /// The cause.
    pub cause: CrashCause,
    /// The time since an instance last responded to it.
    pub success_age_ms: Millis,
}
