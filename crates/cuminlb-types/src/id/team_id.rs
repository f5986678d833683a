//! The id of a team, for which limits and shares are configured.

use crate::macros::text_id;

text_id! {
    /// Identifies a team of callers.
    TeamId, "team"
}
