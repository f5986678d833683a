//! The number of groups of a service, as configured and as reported.

use crate::macros::{integer, number};

integer! {
    /// A number of replica groups of a service.
    ReplicaCount(u32), "replica count", ""
}
