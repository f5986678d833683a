//! The size of a group.

use crate::macros::{integer, number};

integer! {
    /// A number of member instances of a replica group.
    MemberCount(u32), "member count", ""
}
