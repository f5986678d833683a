//! The faults that the proxy can inject into its connections.

use cuminlb_types::prelude::*;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// No fault.
    #[default]
    None,
    /// Open connections are closed, and new ones are closed immediately after they are accepted.
    Cut,
    /// Connections stay open and new ones are accepted, but nothing is forwarded.
    Silent,
    /// Everything is forwarded with a delay.
    Delayed {
        /// The delay of each chunk in milliseconds.
        delay_ms: Millis,
    },
}
