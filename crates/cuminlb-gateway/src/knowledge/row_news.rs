//! What the arrival of a row means.

/// What the arrival of a row means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RowNews {
    /// The row was written or removed.
    Changed,
    /// The row is, or is missing, in the table of a store that was restored: it stems from the copy
    /// or was written since, so that what is known may be older or newer.
    Restored,
}
