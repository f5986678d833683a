//! [`RequestsPerSecond`].

use crate::macros::number;

number! {
    /// A rate in requests a second.
    RequestsPerSecond(f64), "request rate", "/s"
}
