//! Crashes of groups, as nodes exchange them.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one crash: a group can crash once at each epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// The group.
    pub group: GroupId,
    /// The epoch that ended with the crash.
    pub epoch: Epoch,
}

/// A crash of a group while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// The identity of the crash.
    pub id: CrashId,
    /// When the crash was detected.
    pub at_ms: UnixMillis,
}
