//! The digest by which a claim detects that an idempotency key was reused for other content.

use crate::macros::text_id;

text_id! {
    /// Identifies the content of a request; requests with the same content have the same digest.
    ContentDigest, "content digest"
}
