//! The key of a row of the table.

use crate::macros::text_id;

text_id! {
    /// Names a row of the table service.
    RowKey, "row key"
}
