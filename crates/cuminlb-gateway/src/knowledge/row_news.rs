//! What the arrival of a row means.

/// What the arrival of a row means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowNews {
    /// The row was written or removed.
    Changed,
    /// The row is, or is missing, in the copy that the store was restored from. What is known may
    /// be newer.
    Restored,
}
