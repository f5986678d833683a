//! The name of a lease, from which the key of its row is built.

use crate::macros::text_id;

text_id! {
    /// Names a lease.
    LeaseName, "lease"
}
