//! [`RequestFingerprint`].

use crate::macros::text_id;

text_id! {
    /// Identifies repeats of one content by one team, without showing the content.
    RequestFingerprint, "request fingerprint"
}
