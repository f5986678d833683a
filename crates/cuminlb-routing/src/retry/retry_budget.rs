//! [`RetryBudget`].

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

/// The most retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Bounds the retries of one service to a ratio of its first tries.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: Ratio,
    max_saved: f64,
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries for each first try.
    pub const fn new(ratio: Ratio) -> Self {
        Self {
            ratio,
            max_saved: MAX_SAVED_RETRIES,
            saved: Mutex::new(MAX_SAVED_RETRIES),
        }
    }

    /// Lets up to `max_saved` retries be saved up, from now on; a lower bound also takes away
    /// what was saved beyond it.
    pub fn save_up_to(&mut self, max_saved: f64) {
        self.max_saved = max_saved;
        let saved = self.saved.get_mut().unwrap_or_else(PoisonError::into_inner);
        *saved = saved.min(max_saved);
    }

    /// Notes a first try, which saves up a part of a retry.
    pub fn note_first_try(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + self.ratio.get()).min(self.max_saved);
    }

    /// Takes one retry out of the budget, or returns `false` when none is left.
    pub fn take_retry(&self) -> bool {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
