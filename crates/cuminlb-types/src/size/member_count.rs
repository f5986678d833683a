//! [`MemberCount`].

use crate::macros::{integer, number};

integer! {
    /// A number of member instances of one replica group.
    MemberCount(u32), "member count", ""
}
