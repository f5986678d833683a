//! How far a request had come when its connection was lost.

/// How far a request had come when the connection to its instance was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestStage {
    /// The connection could not be opened.
    NotSent,
    /// The response had not begun.
    Waiting,
    /// The response had begun, but did not show yet that the instance can respond to the request.
    Begun,
    /// The instance had responded to the request for some time.
    Responding,
}
