//! Shares of a processor core.

use crate::macros::number;

number! {
    /// A share of one processor core.
    CoreShare(f64), "core share", ""
}
