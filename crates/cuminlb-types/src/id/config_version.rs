//! [`ConfigVersion`].

use crate::macros::{integer, number};

integer! {
    /// The version of the fleet file in force; it only rises.
    ConfigVersion(u64), "configuration version", ""
}
