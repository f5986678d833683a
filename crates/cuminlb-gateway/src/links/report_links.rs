//! Records and reports changes of this node's links to instances.

use cuminlb_routing::{LinkChange, LinkFailure, LinkRoute};
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use crate::gateway::Gateway;

impl Gateway {
    /// Records that a new connection to an instance was opened.
    pub(crate) fn record_opened(&self, instance: &InstanceId) {
        let change = self.links.record_opened(instance, Instant::now());
        self.report(change, instance);
    }

    /// Records that this node does not reach an instance that others reach.
    pub(super) fn record_outage(&self, instance: &InstanceId, failure: LinkFailure) {
        if self.links.route(instance) == LinkRoute::Direct {
            info!(
                instance:% = instance, failure:? = failure;
                "instance reached only by other nodes"
            );
        }
        let now = Instant::now();
        let change = self.links.record_outage(instance, failure, now);
        if failure == LinkFailure::Silent {
            let directory = self.knowledge.directory();
            if let Some(entry) = directory.find_instance(instance) {
                self.pool.close_idle(entry.address);
            }
        }
        self.report(change, instance);
    }

    /// Records that a check has found the link to an instance down.
    pub(super) fn record_check_failed(&self, instance: &InstanceId) {
        let now = Instant::now();
        let change = self.links.record_check_failed(instance, now);
        self.report(change, instance);
    }

    fn report(&self, change: LinkChange, instance: &InstanceId) {
        match change {
            LinkChange::None => {}
            LinkChange::Lost => {
                self.metrics.link_losses.inc();
                warn!(
                    instance:% = instance, unreached = self.links.outage_count();
                    "links to instances lost"
                );
            }
            LinkChange::Regained { outage } => {
                let outage_ms = Millis::from(outage).get();
                info!(instance:% = instance, outage_ms = outage_ms; "links to instances regained");
            }
        }
    }
}
