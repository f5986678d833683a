//! [`Refusal`].

use cuminlb_types::prelude::*;

use super::{RefusalKind, RunState};

/// The truthful end of a request that gets no answer.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
#[error("{kind} ({run_state})")]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether the request has run.
    pub run_state: RunState,
    /// When to try again, where that may help.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Refuses a request of which it is certain that it has not run.
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// Refuses a request that may have run.
    pub const fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::Unknown,
            retry_after_ms: None,
        }
    }

    /// Refuses to answer a request that has run, because its answer is no longer there.
    pub const fn ran(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::Ran,
            retry_after_ms: None,
        }
    }

    /// Adds the time after which a new try may help.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
