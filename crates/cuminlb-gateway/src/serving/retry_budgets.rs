//! Retry budgets that the nodes share without coordination.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};

use cuminlb_config::FleetBounds;
use cuminlb_routing::WindowedBudget;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

/// Fraction of the extra retries that is used, because a node that starts again within a window
/// gets its share again.
const EXTRA_FRACTION: f64 = 0.6;

/// Fraction of the ratio that is used, because requests and retries are counted elsewhere, and a
/// little later.
const RATIO_FRACTION: f64 = 0.7;

/// The retry budgets, one for each service.
///
/// All nodes share the allowance. Each node has its fraction of the extra retries and earns the
/// ratio through its own requests, so that the sum stays within the limit without any messages
/// between nodes.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    budgets: Mutex<HashMap<ServiceId, WindowedBudget>>,
}

impl RetryBudgets {
    /// Records a request, which earns a fraction of a retry.
    pub(crate) fn record_request(&self, service: &ServiceId, bounds: &FleetBounds) {
        let now = Instant::now();
        self.with_budget(service, bounds, |budget| budget.record_request(now));
    }

    /// Withdraws a retry from the budget; returns `false` if none is left.
    pub(crate) fn acquire(&self, service: &ServiceId, bounds: &FleetBounds, nodes: usize) -> bool {
        let extra = bounds.retry_extra * EXTRA_FRACTION / nodes as f64;
        let now = Instant::now();
        self.with_budget(service, bounds, |budget| budget.withdraw_retry(extra, now))
    }

    fn with_budget<T>(
        &self,
        service: &ServiceId,
        bounds: &FleetBounds,
        update: impl FnOnce(&mut WindowedBudget) -> T,
    ) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let ratio = Ratio(bounds.retry_ratio.get() * RATIO_FRACTION);
            WindowedBudget::new(ratio, bounds.retry_window_ms)
        });
        update(budget)
    }
}
