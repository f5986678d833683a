//! Probes an instance until it is known whether it is lost.

use std::net::SocketAddr;

use cuminlb_assembly::{ProbeSeries, ProbeVerdict};
use cuminlb_catalog::{InstanceControl, InstanceReport};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

/// Timeout of a probe.
const PROBE_TIMEOUT_MS: Millis = Millis(110);

/// Probes an instance until it responds or is lost, which `max_failures` failed probes show; `None`
/// if it is lost.
pub(super) async fn probe_instance(
    control: &dyn InstanceControl,
    address: SocketAddr,
    max_failures: u32,
) -> Option<InstanceReport> {
    let mut series = ProbeSeries::new(max_failures, Instant::now());
    loop {
        let response = control.probe(address, PROBE_TIMEOUT_MS).await;
        match series.record(&response, Instant::now()) {
            ProbeVerdict::Responding | ProbeVerdict::Lost => return response.into_report(),
            ProbeVerdict::ProbeAgain { delay } => sleep(delay).await,
        }
    }
}
