//! Dimensionless ratios, such as the ratio of the retry budget.

use crate::macros::number;

number! {
    /// A ratio without a unit, such as retries per request.
    Ratio(f64), "ratio", ""
}
