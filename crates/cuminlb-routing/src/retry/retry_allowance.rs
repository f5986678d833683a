//! The retries that one node may make.

use std::time::Duration;

use cuminlb_types::prelude::*;

/// The retries to one service that one node may make in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryAllowance {
    /// The retries for each of the node's own requests within the window, up to their number in the
    /// window before.
    pub ratio: Ratio,
    /// The retries for each further request.
    pub growth_ratio: Ratio,
    /// The retries in addition to these.
    pub extra: f64,
    /// The window.
    pub window: Duration,
    /// How long a retry counts after it was sent. It may arrive late, together with later ones.
    pub retry_validity: Duration,
}
