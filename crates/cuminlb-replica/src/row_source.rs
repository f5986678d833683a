//! The source of rows, as log lines state it.

use std::fmt;

/// Where rows were read from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RowSource {
    /// The platform's store.
    Store,
    /// Another node.
    Peer,
}

impl fmt::Display for RowSource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Store => "store",
            Self::Peer => "peer",
        })
    }
}
