//! The number of one attempt among those of its request.

use crate::macros::{integer, number};

integer! {
    /// The position of an attempt among the attempts of one request, from 0.
    AttemptNumber(u32), "attempt number", ""
}
