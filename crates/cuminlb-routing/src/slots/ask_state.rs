//! [`AskState`].

use serde::{Deserialize, Serialize};

/// How far an ask for a slot has come, as the node knows that asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum AskState {
    /// There is no answer yet; the owner may have granted a slot or not.
    Asking,
    /// The node holds a slot.
    Held,
}
