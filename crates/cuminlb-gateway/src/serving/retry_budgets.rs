//! Retry budgets that the nodes share without coordination.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use cuminlb_config::FleetBounds;
use cuminlb_routing::RetryBudget;
use cuminlb_types::prelude::*;

/// Fraction of the allowance that is used, because nodes join and leave within a window.
const ALLOWANCE_FRACTION: f64 = 0.6;

/// Balance that a node may always save up from the ratio, because a budget below one retry would
/// never allow any.
const MIN_BALANCE_RETRIES: f64 = 1.0;

/// The retry budgets, one for each service.
///
/// All nodes share the allowance. Each node saves up its fraction of the extra retries and earns
/// the ratio through its own requests, so that the sum stays within the limit without any messages
/// between nodes.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Records a request, which earns a fraction of a retry.
    pub(crate) fn record_request(&self, service: &ServiceId, bounds: &FleetBounds, nodes: usize) {
        self.with_budget(service, bounds, nodes, |budget| budget.deposit());
    }

    /// Withdraws a retry from the budget; returns `false` if none is left.
    pub(crate) fn acquire(&self, service: &ServiceId, bounds: &FleetBounds, nodes: usize) -> bool {
        self.with_budget(service, bounds, nodes, |budget| budget.withdraw_retry())
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        bounds: &FleetBounds,
        nodes: usize,
        update: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let share = bounds.retry_extra * ALLOWANCE_FRACTION / nodes as f64;
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = Ratio(bounds.retry_ratio.get() * ALLOWANCE_FRACTION);
            let mut budget = RetryBudget::new(ratio);
            budget.set_max_balance(share);
            budget
        });
        budget.set_max_balance(share.max(MIN_BALANCE_RETRIES));
        update(budget)
    }
}
