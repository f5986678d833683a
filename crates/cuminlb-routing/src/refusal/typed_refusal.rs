//! The error with which a request ends that gets no response.

use cuminlb_types::prelude::*;

use super::{RefusalKind, RunState};

/// The end of a request without a response, with what is known about its execution.
#[derive(Clone, Debug, PartialEq)]
#[derive(thiserror::Error)]
#[error("{kind} ({run_state})")]
pub struct Refusal {
    /// The reason.
    pub kind: RefusalKind,
    /// Whether the request has run.
    pub run_state: RunState,
    /// The delay after which to retry, if a retry may succeed.
    pub retry_after_ms: Option<Millis>,
}

impl Refusal {
    /// Creates the refusal of a request that has certainly not run and will not run.
    pub const fn not_run(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::NotRun,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that may have run.
    pub const fn unknown(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::Unknown,
            retry_after_ms: None,
        }
    }

    /// Creates the refusal of a request that has run but whose response is no longer available.
    pub const fn ran(kind: RefusalKind) -> Self {
        Self {
            kind,
            run_state: RunState::Ran,
            retry_after_ms: None,
        }
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub const fn with_retry_after(mut self, retry_after_ms: Millis) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
