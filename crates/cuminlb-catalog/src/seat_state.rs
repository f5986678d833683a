//! [`SeatState`].

/// How far a member of a group has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeatState {
    /// It loads or connects.
    Joining,
    /// It is a member; a head in this state does not serve.
    Ready,
    /// As the head, it serves.
    Open,
    /// As the head, it finishes what runs.
    Closing,
    /// As the head, it has given up waiting for a member.
    Broken,
}
