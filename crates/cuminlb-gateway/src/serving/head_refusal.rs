//! The reason why the head of a request is not read to its end.

/// The reason why the head of a request is not read to its end. Its connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum HeadRefusal {
    /// It exceeds the limit.
    #[error("the head of the request is too long")]
    TooLong,
    /// The heads of all requests hold too much memory, and this one is among the largest.
    #[error("the heads of all requests hold too much memory")]
    TooManyHeld,
}
