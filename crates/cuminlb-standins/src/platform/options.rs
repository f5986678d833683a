//! The options of the platform's stand-in.

use cuminlb_types::prelude::*;

/// Options of the platform's stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformOptions {
    /// The delay in milliseconds until a change is visible in the instance list.
    pub list_lag_ms: Millis,
}
