//! The bandwidth of network links.

use crate::macros::number;

number! {
    /// A bandwidth in megabits per second.
    LinkRate(f64), "link rate", "Mbit/s"
}
