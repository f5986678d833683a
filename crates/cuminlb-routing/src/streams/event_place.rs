//! The place of an event in the stream that a caller receives.

/// The place of an event in the stream that a caller receives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventPlace {
    /// It follows what the caller has.
    Next,
    /// The caller has it.
    Repeated,
    /// Events between those that the caller has and this one are missing, or it can't be told whether
    /// any are.
    Unconnected,
}
