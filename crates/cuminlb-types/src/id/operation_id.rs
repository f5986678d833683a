//! [`OperationId`].

use crate::macros::text_id;

text_id! {
    /// Identifies one write to the table, so that a lost answer can be resolved by reading back.
    OperationId, "operation"
}
