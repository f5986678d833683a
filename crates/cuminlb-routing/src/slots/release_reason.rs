//! The reason with which a slot is released.

use serde::{Deserialize, Serialize};

/// Why a slot is released; this determines how long its request may still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum ReleaseReason {
    /// The request was never sent, or the engine sent the complete response.
    Finished,
    /// The connection was closed early, so the engine may run the request for some more time.
    Abandoned,
}
