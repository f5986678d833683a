//! [`IdempotencyKey`].

use crate::macros::text_id;

text_id! {
    /// Identifies repeats of one non-idempotent request of one team.
    IdempotencyKey, "idempotency key"
}
