//! A retry budget, which keeps retries from multiplying the load when many requests fail.

use std::sync::{Mutex, PoisonError};

use cuminlb_types::prelude::*;

/// The default maximum balance, in retries.
const DEFAULT_MAX_BALANCE_RETRIES: f64 = 10.0;

/// Limits the retries of one service to a ratio of its first attempts, plus the initial balance.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: Ratio,
    max_balance: f64,
    balance: Mutex<f64>,
}

impl RetryBudget {
    /// Creates a budget with a full balance that earns `ratio` retries for each first attempt.
    pub const fn new(ratio: Ratio) -> Self {
        Self {
            ratio,
            max_balance: DEFAULT_MAX_BALANCE_RETRIES,
            balance: Mutex::new(DEFAULT_MAX_BALANCE_RETRIES),
        }
    }

    /// Sets the maximum balance, in retries. If the balance is higher, it is reduced to the new
    /// maximum.
    pub fn set_max_balance(&mut self, max_balance: f64) {
        self.max_balance = max_balance;
        let balance = self
            .balance
            .get_mut()
            .unwrap_or_else(PoisonError::into_inner);
        *balance = balance.min(max_balance);
    }

    /// Records a first attempt, which adds the ratio to the balance.
    pub fn deposit(&self) {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        *balance = (*balance + self.ratio.get()).min(self.max_balance);
    }

    /// Withdraws one retry from the budget; returns `false` if none is left.
    pub fn withdraw_retry(&self) -> bool {
        let mut balance = self.balance.lock().unwrap_or_else(PoisonError::into_inner);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
