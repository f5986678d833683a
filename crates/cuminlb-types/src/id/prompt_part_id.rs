//! The id of a part of a prompt.

use crate::macros::text_id;

text_id! {
    /// Identifies a part of a prompt, which several requests may share.
    PromptPartId, "prompt part id"
}
