//! Retry budgets that the nodes share without coordination.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use cuminlb_routing::{BudgetUse, NodeShare, RetryBounds, WindowedBudget};
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use super::denial_log::DenialLog;

/// The retry budgets, one for each service.
#[derive(Debug, Default)]
pub(crate) struct RetryBudgets {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    share: NodeShare,
    services: HashMap<ServiceId, ServiceBudget>,
}

/// The budget of one service, and what was logged of it.
#[derive(Debug, Default)]
struct ServiceBudget {
    budget: WindowedBudget,
    denials: DenialLog,
}

impl RetryBudgets {
    /// Records the number of nodes that this one knows, including itself; zero while it has not read
    /// the list.
    pub(crate) fn record_nodes(&self, nodes: usize, bounds: &RetryBounds) {
        self.state()
            .share
            .record_nodes(nodes, bounds, Instant::now());
    }

    /// Returns the number of nodes that share the extra retries.
    pub(crate) fn nodes(&self) -> usize {
        self.state().share.nodes()
    }

    /// Records a request, which earns a fraction of a retry.
    pub(crate) fn record_request(&self, service: &ServiceId, bounds: &RetryBounds) {
        let mut state = self.state();
        let window = bounds.window_ms.duration();
        let budget = &mut state.service(service).budget;
        budget.record_request(window, Instant::now());
    }

    /// Withdraws a retry from the budget and returns how much of it was used before; returns `None`
    /// if no retry is left.
    pub(crate) fn acquire(&self, service: &ServiceId, bounds: &RetryBounds) -> Option<BudgetUse> {
        let now = Instant::now();
        let mut state = self.state();
        let nodes = state.share.nodes();
        let allowance = state.share.allowance(bounds, now);
        let it = state.service(service);
        let usage = it.budget.usage(&allowance, now);
        if it.budget.withdraw_retry(&allowance, now) {
            return Some(usage);
        }
        if let Some(denied) = it.denials.record(now) {
            info!(
                service:% = service, denied = denied, budget:% = usage, nodes = nodes;
                "retries denied"
            );
        }
        None
    }

    /// Returns how much of each budget is used.
    pub(crate) fn usage(&self, bounds: &RetryBounds) -> Vec<(ServiceId, BudgetUse)> {
        let now = Instant::now();
        let state = self.state();
        let allowance = state.share.allowance(bounds, now);
        let usage = |(service, it): (&ServiceId, &ServiceBudget)| {
            (service.clone(), it.budget.usage(&allowance, now))
        };
        state.services.iter().map(usage).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn service(&mut self, service: &ServiceId) -> &mut ServiceBudget {
        self.services.entry(service.clone()).or_default()
    }
}
