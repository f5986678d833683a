//! What the selection of one of several open attempts means for the caller's response.

/// What the selection of an attempt means for the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection {
    /// The response comes from the same attempt as before, and no other was open.
    Unchanged,
    /// The earlier attempt went on by itself while another one was being made.
    WentOn,
    /// The response comes from a later attempt.
    Moved,
}
