//! The leader's assessment of an instance, from probes and the outcomes of orders.

/// The health of an instance that has an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceHealth {
    /// No fault is known.
    Fine,
    /// It responds, but takes far longer than normal.
    Slow,
    /// It does not respond; it may be partitioned or dead.
    Silent,
    /// Its process has ended, or an unlisted instance reports another seat than its entry.
    Ended,
}
