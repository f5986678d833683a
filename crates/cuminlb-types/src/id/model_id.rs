//! The id of a model, for which groups are formed and weights are loaded.

use crate::macros::text_id;

text_id! {
    /// Identifies a model that replica groups serve.
    ModelId, "model"
}
