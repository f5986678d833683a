//! [`InstanceState`].

use serde::{Deserialize, Serialize};

/// Whether an instance is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The platform will take the instance away; it takes no new work.
    Leaving,
}
