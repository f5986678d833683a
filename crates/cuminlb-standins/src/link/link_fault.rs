//! [`LinkFault`].

use cuminlb_types::prelude::*;

/// What a link does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkFault {
    /// Nothing.
    #[default]
    None,
    /// Open connections break, and new ones are closed at once.
    Cut,
    /// Connections stay open and new ones are accepted, and nothing is forwarded.
    Silent,
    /// Everything is forwarded late.
    Delayed {
        /// How late.
        delay_ms: Millis,
    },
}
