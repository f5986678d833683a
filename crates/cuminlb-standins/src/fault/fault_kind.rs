//! [`Fault`].

use cuminlb_types::prelude::*;
use serde::{Deserialize, Serialize};

/// What a stand-in does wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Every answer comes late.
    Slow {
        /// How late.
        delay_ms: Millis,
    },
    /// Every call is refused before it has any effect.
    Refusing,
    /// Every call takes effect and its answer is lost.
    AnswerLost,
    /// Every write to the table takes effect and its answer is lost; all other calls work.
    WriteAnswerLost,
    /// Every call hangs until the fault ends, and then takes effect.
    Paused,
    /// Streams break off after so many chunks, as if the process had crashed.
    BreakStreams {
        /// The number of chunks that still come.
        after_chunks: u32,
    },
    /// Streams fall silent after so many chunks and stay open.
    SilenceStreams {
        /// The number of chunks that still come.
        after_chunks: u32,
    },
    /// Answers carry the id of another request.
    WrongIds,
}
