//! Probes an instance until it is known whether it is lost.

use cuminlb_assembly::{ProbeSeries, ProbeVerdict};
use cuminlb_catalog::{InstanceEntry, InstanceReport};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

use crate::gateway::Gateway;

/// Timeout of a probe.
const PROBE_TIMEOUT_MS: Millis = Millis(110);

/// Probes an instance until it responds or is lost, which `max_failures` failed probes show, and
/// records whether it states that it leaves; `None` if it is lost.
pub(super) async fn probe_instance(
    gateway: &Gateway,
    entry: &InstanceEntry,
    max_failures: u32,
) -> Option<InstanceReport> {
    let control = &gateway.edges.instances;
    let mut series = ProbeSeries::new(max_failures, Instant::now());
    let report = loop {
        let response = control.probe(entry.address, PROBE_TIMEOUT_MS).await;
        match series.record(&response, Instant::now()) {
            ProbeVerdict::Responding | ProbeVerdict::Lost => break response.into_report()?,
            ProbeVerdict::ProbeAgain { delay } => sleep(delay).await,
        }
    };
    gateway.record_report(entry, &report);
    Some(report)
}
