//! [`ReplicaCount`].

use crate::macros::{integer, number};

integer! {
    /// A number of replica groups of one service.
    ReplicaCount(u32), "replica count", ""
}
