//! The record of one executed call, which tests read to count the executions of a request.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// One call that the plain service has executed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Reservation {
    /// The id of the request, from the request header.
    pub request: String,
    /// The request body.
    pub body: String,
    /// The time at which the call was executed.
    pub at: UnixMillis,
}
