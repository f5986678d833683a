//! The lifecycle of a member of a group.

/// The state of a member of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeatState {
    /// It loads weights or connects to the other members.
    Joining,
    /// It has joined; a head in this state does not serve.
    Ready,
    /// It is the head and serves.
    Open,
    /// It is the head and finishes the requests in flight.
    Closing,
    /// It is the head and has stopped waiting for a missing member.
    Broken,
}
