//! [`RetryBudgets`].

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use cuminlb_config::FleetBounds;
use cuminlb_routing::RetryBudget;
use cuminlb_types::prelude::*;

/// The part of the allowance that is used, because nodes come and go within a window.
const USED_PART: f64 = 0.6;

/// The budgets of repeats, one for each service.
///
/// All nodes share the allowance: each saves up its part of the extra repeats, and earns the
/// ratio by its own requests, so that their sum stays within the bound without any messages.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<ServiceId, RetryBudget>>,
}

impl RetryBudgets {
    /// Notes a request, which earns a part of a repeat.
    pub(crate) fn note_request(&self, service: &ServiceId, bounds: &FleetBounds, nodes: usize) {
        self.with(service, bounds, nodes, |budget| budget.deposit());
    }

    /// Takes a repeat out of the budget, or returns `false` when none is left.
    pub(crate) fn take(&self, service: &ServiceId, bounds: &FleetBounds, nodes: usize) -> bool {
        self.with(service, bounds, nodes, |budget| budget.withdraw_retry())
    }

    fn with<T>(
        &self,
        service: &ServiceId,
        bounds: &FleetBounds,
        nodes: usize,
        act: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(Ratio(bounds.retry_ratio.get() * USED_PART)));
        budget.set_max_balance(bounds.retry_extra * USED_PART / nodes as f64);
        act(budget)
    }
}
