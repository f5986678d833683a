//! The fingerprint by which the quarantine identifies suspect requests.

use crate::macros::text_id;

text_id! {
    /// Identifies identical requests of one team without revealing their content.
    RequestFingerprint, "request fingerprint"
}
