//! Records the rate limits that instances state in their responses.

use cuminlb_catalog::ResponseHead;
use cuminlb_routing::LimitChange;
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use crate::gateway::Gateway;

impl Gateway {
    /// Records what the response to a request that was sent at `sent_at` states about the rate limit of an
    /// incarnation of an instance.
    pub(crate) fn record_limit(
        &self,
        instance: &InstanceId,
        incarnation: Incarnation,
        head: &ResponseHead,
        sent_at: Instant,
    ) {
        let Some(statement) = head.rate_statement() else {
            return;
        };
        let load = self.loads.load(instance);
        let Some(change) = load.record_limit(incarnation, statement, sent_at) else {
            return;
        };
        self.metrics.limit_changes.inc();
        let (limit_per_s, change) = match change {
            LimitChange::Stated(limit) => (Some(limit.get()), "stated"),
            LimitChange::Ended => (None, "ended"),
            LimitChange::Unreadable => (None, "ignored as unreadable"),
        };
        info!(
            instance:% = instance, incarnation = incarnation.get(), limit_per_s = limit_per_s,
            change = change;
            "rate limit of an instance"
        );
    }
}
