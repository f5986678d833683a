//! [`ModelId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one model that replica groups serve.
    ModelId, "model"
}
