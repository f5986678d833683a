//! The state of an instance in the instance list.

use serde::{Deserialize, Serialize};

/// Whether an instance is live or leaving.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// The instance is running.
    Live,
    /// The platform is about to remove the instance; it accepts no new work.
    Leaving,
}
