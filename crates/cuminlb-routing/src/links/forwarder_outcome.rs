//! What came of asking a node to forward a request.

/// What came of asking a node to forward a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ForwarderOutcome {
    /// It has passed the request on, or knows the instance and says why it can't.
    Able,
    /// It reaches no instances itself.
    NoLinks,
    /// It has too much to do, or stops.
    Busy,
    /// It could not be reached, or did not respond.
    Failed,
}
