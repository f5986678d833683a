//! [`PlatformOptions`].

use cuminlb_types::prelude::*;

/// How the platform's stand-in behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformOptions {
    /// How long a change takes to show in the instance list.
    pub list_lag_ms: Millis,
}
