//! The key of an object, such as the text of a configuration.

use crate::macros::text_id;

text_id! {
    /// Names an object in the object store.
    ObjectKey, "object key"
}
