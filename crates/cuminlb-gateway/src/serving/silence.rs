//! The evaluation of the time during which nothing was received for a request.

/// The evaluation of the time during which nothing was received for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Silence {
    /// The silence is within the expected range.
    Normal,
    /// The instance should be suspected.
    Suspicious,
    /// The request should be offered to another instance. This one may still respond.
    TooLong,
}
