//! [`Ratio`].

use crate::macros::number;

number! {
    /// A ratio without a unit, such as retries to requests.
    Ratio(f64), "ratio", ""
}
