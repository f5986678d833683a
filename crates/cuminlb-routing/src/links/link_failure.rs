//! How the link to an instance failed.

/// How the link to an instance failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFailure {
    /// A new connection was refused or reset. Open connections may live on.
    Refused,
    /// Nothing came back in time, on a new connection or an open one.
    Silent,
}
