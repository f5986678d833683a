//! [`TokensPerSecond`].

use crate::macros::number;

number! {
    /// A rate in tokens a second.
    TokensPerSecond(f64), "token rate", "/s"
}
