//! Why a request is not sent to another instance.

/// Why a request is not sent to another instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(super) enum AttemptObstacle {
    /// The request may not run once more.
    #[error("the request may not run again")]
    NoRunLeft,
    /// The events that the caller has received have no ids.
    #[error("the events have no ids")]
    NotResumable,
    /// No other instance serves.
    #[error("no other instance is available")]
    NoInstance,
    /// Instances may have crashed because of it.
    #[error("instances crashed while they responded to it")]
    Quarantined,
    /// The retry budget is used up.
    #[error("retry budget exhausted")]
    NoBudget,
}
