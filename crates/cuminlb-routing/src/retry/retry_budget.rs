//! [`RetryBudget`].

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

/// The most retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;

/// Bounds the retries of one service to a ratio of its first tries.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: Ratio,
    saved: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget that allows `ratio` retries for each first try.
    pub const fn new(ratio: Ratio) -> Self {
        Self {
            ratio,
            saved: Mutex::new(MAX_SAVED_RETRIES),
        }
    }

    /// Notes a first try, which saves up a part of a retry.
    pub fn note_first_try(&self) {
        let mut saved = self.saved.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + self.ratio.get()).min(MAX_SAVED_RETRIES);
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
