//! What a series of health probes has shown so far.

use std::time::Duration;

/// What a series of health probes has shown so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The instance responds.
    Responding,
    /// The instance is lost.
    Lost,
    /// Another probe must decide.
    ProbeAgain {
        /// The delay before it.
        delay: Duration,
    },
}
