//! Sites in which nodes lose their links to the instances.

use std::time::Duration;

use tokio::time::sleep;

use crate::native_site::NativeSite;
use crate::observed_call::ObservedCall;

/// The processing time of a plain request in tests that don't depend on it.
pub const SHORT_WORK: Duration = Duration::from_millis(5);

/// The time after a cut from which callers must be served.
pub const CONTACT: Duration = Duration::from_secs(3);

/// The numbers of nodes and engines; two engines form a group.
pub const NODES: usize = 3;
pub const ENGINES: usize = 4;

/// The node whose links are cut where it doesn't matter which one leads.
pub const CUT: usize = 0;

/// The number of requests of each kind that are checked, and how many of them must be served.
pub const REQUESTS: u32 = 20;
pub const MIN_SERVED: usize = 18;
pub const REQUEST_PAUSE: Duration = Duration::from_millis(50);

/// The requests of each kind that are sent until callers must be served, whatever becomes of them.
pub const EARLY_REQUESTS: u32 = 15;
pub const EARLY_PAUSE: Duration = Duration::from_millis(200);

pub async fn serving_site() -> NativeSite {
    serving_site_with(ENGINES, SHORT_WORK).await
}

pub async fn serving_site_with(engines: usize, work: Duration) -> NativeSite {
    let site = NativeSite::start_with_links(NODES, engines, work).await;
    site.wait_serving().await;
    site.wait_open_groups(engines / 2).await;
    site
}

pub async fn send_early(site: &NativeSite, node: usize) -> Vec<ObservedCall> {
    ObservedCall::send_all(site, node, "early", EARLY_REQUESTS, EARLY_PAUSE).await
}

pub async fn send_late(site: &NativeSite, node: usize) -> Vec<ObservedCall> {
    sleep(CONTACT).await;
    ObservedCall::send_all(site, node, "late", REQUESTS, REQUEST_PAUSE).await
}

/// The seat of an engine, and the orders that it has got.
pub type EngineView = (Option<(String, u64, &'static str)>, Vec<String>);

/// Returns the seats of all engines and the orders that they got.
pub fn groups_of(site: &NativeSite) -> Vec<EngineView> {
    let engines = site.engines();
    let groups = engines.map(|engine| (engine.seat(), engine.operations()));
    groups.collect()
}

/// Checks that a node counts no crash, and refuses no request as one that crashes instances.
pub async fn assert_nothing_counted(site: &NativeSite, node: usize) {
    for metric in [
        "cuminlb_instance_crashes_total",
        "cuminlb_quarantine_refusals_total",
        "cuminlb_quarantined_causes",
    ] {
        assert_eq!(site.metric(node, metric).await, 0, "{metric} of {node}");
    }
}
