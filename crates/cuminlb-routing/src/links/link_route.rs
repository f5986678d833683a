//! The way by which a request is sent to an instance.

/// The way by which a request is sent to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkRoute {
    /// On a connection of this node.
    Direct,
    /// On an open connection of this node, or else by another node.
    OpenOrForwarded,
    /// By another node.
    Forwarded,
}
