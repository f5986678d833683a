//! What one body holds of a budget.

use super::body_budget::BodyBudget;
use super::budget_error::BudgetError;

/// The length up to which a body takes nothing from the budget, so that usual requests go on while
/// long ones have used it up. It is bounded by the number of connections.
const FREE_LEN_BYTES: usize = 4 << 10;

/// What one body holds of a budget. It is given back when the share is dropped.
#[derive(Debug)]
pub struct BudgetShare {
    budget: BodyBudget,
    held_bytes: u64,
}

impl BudgetShare {
    pub(super) const fn new(budget: BodyBudget) -> Self {
        Self {
            budget,
            held_bytes: 0,
        }
    }

    /// Holds as much as a body of `len_bytes` needs, instead of what was held before.
    ///
    /// # Errors
    ///
    /// Returns an error, and holds as much as before, if the budget has too little left.
    pub fn resize(&mut self, len_bytes: usize) -> Result<(), BudgetError> {
        let counted_len = if len_bytes <= FREE_LEN_BYTES {
            0
        } else {
            len_bytes
        };
        let needed_bytes = u64::try_from(counted_len).unwrap_or(u64::MAX);
        if needed_bytes <= self.held_bytes {
            self.give_back(self.held_bytes - needed_bytes);
            return Ok(());
        }
        let more_bytes = needed_bytes - self.held_bytes;
        let BodyBudget { whole, part } = &self.budget;
        if part.as_ref().is_some_and(|part| !part.take(more_bytes)) {
            return Err(BudgetError::SourceHoldsTooMuch);
        }
        if !whole.take(more_bytes) {
            if let Some(part) = part {
                part.give_back(more_bytes);
            }
            return Err(BudgetError::NodeHoldsTooMuch);
        }
        self.held_bytes = needed_bytes;
        Ok(())
    }

    fn give_back(&mut self, bytes: u64) {
        self.budget.whole.give_back(bytes);
        if let Some(part) = &self.budget.part {
            part.give_back(bytes);
        }
        self.held_bytes -= bytes;
    }
}

impl Drop for BudgetShare {
    fn drop(&mut self) {
        self.give_back(self.held_bytes);
    }
}
