//! The version by which nodes recognize a newer configuration.

use crate::macros::{integer, number};

integer! {
    /// The version of the active fleet file; it never decreases.
    ConfigVersion(u64), "configuration version", ""
}
