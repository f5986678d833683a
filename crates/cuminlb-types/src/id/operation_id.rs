//! The id that makes writes to the table verifiable after a lost response.

use crate::macros::text_id;

text_id! {
    /// Identifies a write to the table, so that a read can determine its outcome if the response is
    /// lost.
    OperationId, "operation"
}
