//! The kinds of faults that a stand-in can inject; the JSON body of `PUT /fault`.

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A fault that a stand-in injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every response is delayed.
    Slow {
        /// The delay in milliseconds.
        delay_ms: Millis,
    },
    /// Every call is refused with status 503 and has no effect.
    Refusing,
    /// Every call takes effect, but its response is never sent.
    AnswerLost,
    /// Every write to the table takes effect, but its response is never sent; all other calls
    /// work.
    WriteAnswerLost,
    /// Every call is delayed until the fault ends, and then takes effect.
    Paused,
    /// All connections are closed and new ones are refused, as after a crash of the process.
    Crashed,
    /// Streams are reset after a number of chunks, as if the process had crashed.
    BreakStreams {
        /// The number of chunks that are still sent.
        after_chunks: u32,
    },
    /// Streams stop sending after a number of chunks, but stay open.
    SilenceStreams {
        /// The number of chunks that are still sent.
        after_chunks: u32,
    },
    /// Responses carry the id of another request.
    WrongIds,
}
