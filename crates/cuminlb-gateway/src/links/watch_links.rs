//! The task that notices when links to instances are back.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// Interval between two checks, each of one instance.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// The time without anything received from an instance after which a leader checks its links.
const MAX_LEADER_QUIET: Duration = Duration::from_millis(1_000);

/// The number of instances whose links such a leader checks at a time.
const LEADER_CHECKS: usize = 3;

/// Checks the instances that only other nodes reach, one after the other, until `stop` is cancelled.
pub(crate) async fn watch_links(gateway: Arc<Gateway>, stop: CancellationToken) {
    let watch = async {
        loop {
            sleep(CHECK_PERIOD).await;
            check_next(&gateway).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = watch => {}
    }
}

async fn check_next(gateway: &Arc<Gateway>) {
    let directory = gateway.knowledge.directory();
    gateway
        .links
        .retain(|id| directory.find_instance(id).is_some());
    let Some(id) = gateway.links.next_check() else {
        check_leader(gateway, &directory).await;
        return;
    };
    let Some(entry) = directory.find_instance(&id) else {
        return;
    };
    if gateway.probe_link(entry).await.is_err() {
        gateway.record_check_failed(&id);
    }
}

/// Checks the links to some instances if this node leads and has heard from none for a while. It sends
/// nothing to instances while there is nothing to do, and must not lead without links.
async fn check_leader(gateway: &Arc<Gateway>, directory: &Directory) {
    let leads = gateway.knowledge.leader().as_ref() == Some(&gateway.settings.id);
    let quiet_since = Instant::now().checked_sub(MAX_LEADER_QUIET);
    if !leads || quiet_since.is_none_or(|since| gateway.links.has_contact_since(since)) {
        return;
    }
    let instances = directory.services.values().flat_map(|it| it.keys());
    let chosen = instances.sample(&mut rand::rng(), LEADER_CHECKS);
    let checks = chosen.into_iter().map(|id| gateway.check_own_link(id));
    join_all(checks).await;
}
