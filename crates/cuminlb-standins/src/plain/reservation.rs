//! [`Reservation`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One call that the plain service has executed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reservation {
    /// The request that the call came with.
    pub request: String,
    /// The body of the call.
    pub body: String,
    /// When the call was executed.
    pub at: UnixMillis,
}
