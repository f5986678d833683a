//! What a write of a lease row means to its sender.

/// What a write of a lease row means to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWriteOutcome {
    /// The sender holds the lease.
    Held,
    /// The sender does not hold the lease.
    Lost,
    /// The store was restored while the sender's lease is valid; the row must be written again at
    /// once.
    Restored,
    /// The store did not respond; a lease that is held remains valid for its time.
    Unknown,
}
