//! What an event of a stream contains.

/// What an event of a stream contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventContent {
    /// A piece of the response.
    Piece,
    /// Nothing, as a comment that keeps the connection open.
    Nothing,
    /// The statement that the response is complete.
    End,
}
