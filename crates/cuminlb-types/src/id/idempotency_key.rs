//! The key by which a claim recognizes a retry of a request that must not run twice.

use crate::macros::text_id;

text_id! {
    /// Identifies the retries of a non-idempotent request of a team.
    IdempotencyKey, "idempotency key"
}
