//! How a request competes for the slots of a group.

/// How a request competes for the slots of a group with others of its priority.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RequestClass {
    /// No admission control is in force.
    #[default]
    Unclassified,
    /// It is expected to begin in time.
    InTime,
    /// It yields to all requests that can begin in time.
    Yielding,
}
