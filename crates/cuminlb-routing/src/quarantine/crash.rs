//! [`Crash`] and [`CrashId`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Identifies one crash: a group can crash once at each epoch.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct CrashId {
    /// The group.
    pub group: GroupId,
    /// The epoch that the crash ended.
    pub epoch: Epoch,
}

/// A crash of a group while a request ran there.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Crash {
    /// Which crash.
    pub id: CrashId,
    /// When it was noticed.
    pub at_ms: UnixMillis,
}
