//! [`LeaseName`].

use crate::macros::text_id;

text_id! {
    /// Names one lease.
    LeaseName, "lease"
}
