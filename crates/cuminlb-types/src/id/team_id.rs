//! [`TeamId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one team of callers.
    TeamId, "team"
}
