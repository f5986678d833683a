//! [`SlotEnd`].

use serde::{Deserialize, Serialize};

/// How the use of a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SlotEnd {
    /// The request was never sent, or the engine gave its whole answer.
    Finished,
    /// The connection was closed early, so the engine may go on for a while.
    Abandoned,
}
