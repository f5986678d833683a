//! [`ContentDigest`].

use crate::macros::text_id;

text_id! {
    /// Identifies the content of a request: what two requests share that ask for the same.
    ContentDigest, "content digest"
}
