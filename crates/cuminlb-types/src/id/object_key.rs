//! [`ObjectKey`].

use crate::macros::text_id;

text_id! {
    /// Names one object of the object store.
    ObjectKey, "object key"
}
