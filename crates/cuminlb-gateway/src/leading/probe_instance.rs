//! Probes an instance until it is known whether it is lost.

use std::sync::Arc;

use cuminlb_assembly::{ProbeSeries, ProbeVerdict};
use cuminlb_catalog::{InstanceEntry, ProbeResponse};
use cuminlb_peer::{InstanceCheck, InstanceQuery};
use cuminlb_routing::{InstanceVerdict, LinkFailure};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};

use super::probe_result::ProbeResult;
use crate::gateway::Gateway;

/// Timeout of a probe.
const PROBE_TIMEOUT_MS: Millis = Millis(110);

/// Probes an instance until it responds or is lost, which `max_failures` failed probes show, and
/// records whether it states that it leaves. It is lost only if no other node reaches it.
pub(super) async fn probe_instance(
    gateway: &Arc<Gateway>,
    entry: &InstanceEntry,
    max_failures: u32,
) -> ProbeResult {
    let control = &gateway.edges.instances;
    let mut series = ProbeSeries::new(max_failures, Instant::now());
    let response = loop {
        let response = control.probe(entry.address, PROBE_TIMEOUT_MS).await;
        match series.record(&response, Instant::now()) {
            ProbeVerdict::Responding | ProbeVerdict::Lost => break response,
            ProbeVerdict::ProbeAgain { delay } => sleep(delay).await,
        }
    };
    let failure = match response {
        ProbeResponse::Report(report) => {
            gateway.record_opened(&entry.id);
            gateway.record_report(entry, &report);
            return ProbeResult::Responding(report);
        }
        ProbeResponse::NoReport | ProbeResponse::Failed => LinkFailure::Refused,
        ProbeResponse::Silent => LinkFailure::Silent,
    };
    let query = InstanceQuery {
        instance: entry.id.clone(),
        check: InstanceCheck::Reports,
    };
    match gateway.judge_instance(query, failure).await {
        InstanceVerdict::InstanceLost => ProbeResult::Lost,
        InstanceVerdict::LinkLost | InstanceVerdict::Undecided => ProbeResult::Unknown,
    }
}
