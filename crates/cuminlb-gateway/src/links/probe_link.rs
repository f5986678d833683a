//! Probes the link of this node to an instance.

use cuminlb_catalog::{InstanceEntry, ProbeResponse};
use cuminlb_routing::{CheckTiming, LinkFailure};

use crate::gateway::Gateway;

impl Gateway {
    /// Probes the link to an instance over a new connection. Any response shows that it works.
    ///
    /// # Errors
    ///
    /// Returns how the link failed.
    pub(crate) async fn probe_link(&self, entry: &InstanceEntry) -> Result<(), LinkFailure> {
        let control = &self.edges.instances;
        match control
            .probe(entry.address, CheckTiming::CONTROL_PROBE_MS)
            .await
        {
            ProbeResponse::Report(report) => {
                self.record_report(entry, &report);
                self.record_opened(&entry.id);
                Ok(())
            }
            ProbeResponse::NoReport => {
                self.record_opened(&entry.id);
                Ok(())
            }
            ProbeResponse::Failed => Err(LinkFailure::Refused),
            ProbeResponse::Silent => Err(LinkFailure::Silent),
        }
    }
}
