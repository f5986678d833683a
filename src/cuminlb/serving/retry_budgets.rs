//! The retry budgets of this node, one for each service.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_routing::RetryBudget;
use cuminlb_types::prelude::*;

/// The number of retries that each first attempt adds to the budget.
const RETRY_RATIO: Ratio = Ratio(0.1);

/// The retry budget of each service.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudgets {
    budgets: Arc<Mutex<HashMap<ServiceId, Arc<RetryBudget>>>>,
}

impl RetryBudgets {
    /// Returns the budget of a service, after recording a first attempt in it.
    pub(super) fn record_first_attempt(&self, service: &ServiceId) -> Arc<RetryBudget> {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Arc::new(RetryBudget::new(RETRY_RATIO)));
        budget.deposit();
        Arc::clone(budget)
    }
}
