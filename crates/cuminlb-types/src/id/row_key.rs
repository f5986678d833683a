//! [`RowKey`].

use crate::macros::text_id;

text_id! {
    /// Names one row of the table service.
    RowKey, "row key"
}
