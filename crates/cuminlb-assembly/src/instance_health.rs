//! [`InstanceHealth`].

/// What the leader holds of an instance that has an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceHealth {
    /// Nothing speaks against it.
    Fine,
    /// It answers, but takes far longer than it should.
    Slow,
    /// It answers nothing, and may be cut off or dead.
    Silent,
    /// Its process has ended.
    Ended,
}
