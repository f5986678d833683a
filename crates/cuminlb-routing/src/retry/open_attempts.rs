//! The attempts of one request that are open at the same time.

use cuminlb_types::prelude::*;

use super::Selection;

/// Decides when a request may be sent once more, and which of its attempts stay open.
///
/// An instance that has fallen silent may still respond. Its attempt therefore stays open while
/// another one is made, and ends only when another one has delivered a part of the response.
#[derive(Clone, Debug)]
pub struct OpenAttempts {
    max_runs: u32,
    may_retry: bool,
    /// The attempts that have ended and may have run.
    ended_runs: u32,
    started: u32,
    /// The open attempts in the order in which they were started.
    open: Vec<OpenAttempt>,
    /// The attempt that the caller's response comes from.
    selected: Option<AttemptNumber>,
}

/// An attempt that has neither failed nor been cancelled.
#[derive(Clone, Copy, Debug)]
struct OpenAttempt {
    number: AttemptNumber,
    is_silent: bool,
}

impl OpenAttempts {
    /// Allows `max_runs` runs of a request, or one if it must not be retried once it may have run.
    pub const fn new(max_runs: u32, may_retry: bool) -> Self {
        Self {
            max_runs,
            may_retry,
            ended_runs: 0,
            started: 0,
            open: Vec::new(),
            selected: None,
        }
    }

    /// Returns whether no attempt is open.
    pub const fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Returns whether the request may have run.
    pub const fn may_have_run(&self) -> bool {
        self.runs() > 0
    }

    /// Returns whether the request may run once more beside the open attempts.
    pub const fn may_run_again(&self) -> bool {
        self.runs() == 0 || self.may_retry && self.runs() < self.max_runs
    }

    /// Returns whether an attempt is open that has not fallen silent.
    pub fn has_responsive_attempt(&self) -> bool {
        self.open.iter().any(|attempt| !attempt.is_silent)
    }

    /// Returns whether the caller's response comes from an attempt.
    pub fn is_selected(&self, number: AttemptNumber) -> bool {
        self.selected == Some(number)
    }

    /// Starts an attempt, which counts as a run until it ends without one.
    pub fn start(&mut self) -> AttemptNumber {
        let number = AttemptNumber(self.started);
        self.started += 1;
        self.open.push(OpenAttempt {
            number,
            is_silent: false,
        });
        number
    }

    /// Records that an attempt has fallen silent. It stays open.
    pub fn record_silence(&mut self, number: AttemptNumber) {
        let attempt = self.open.iter_mut().find(|it| it.number == number);
        if let Some(attempt) = attempt {
            attempt.is_silent = true;
        }
    }

    /// Records that an attempt has ended without a response.
    pub fn record_end(&mut self, number: AttemptNumber, may_have_run: bool) {
        let open = self.open.len();
        self.open.retain(|attempt| attempt.number != number);
        if may_have_run && self.open.len() < open {
            self.ended_runs += 1;
        }
    }

    /// Records that an open attempt has delivered a part of the response that the caller does not
    /// have. All others end, because parts of two runs must not be mixed.
    pub fn select(&mut self, number: AttemptNumber) -> Selection {
        let others = |attempt: &&OpenAttempt| attempt.number != number;
        let has_later = self.open.iter().filter(others).any(|it| it.number > number);
        let has_earlier = self.open.iter().filter(others).any(|it| it.number < number);
        self.open.retain_mut(|attempt| {
            attempt.is_silent = false;
            let is_kept = attempt.number == number;
            self.ended_runs += u32::from(!is_kept);
            is_kept
        });
        let previous = self.selected.replace(number);
        if has_earlier || previous.is_some_and(|previous| previous != number) {
            Selection::Moved
        } else if has_later {
            Selection::WentOn
        } else {
            Selection::Unchanged
        }
    }

    const fn runs(&self) -> u32 {
        self.ended_runs + self.open.len() as u32
    }
}
