//! Request rates, such as the rate limits of teams.

use crate::macros::number;

number! {
    /// A rate in requests per second.
    RequestsPerSecond(f64), "request rate", "/s"
}
