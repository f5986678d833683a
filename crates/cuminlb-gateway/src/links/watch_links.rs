//! The task that notices when links to instances are back.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::gateway::Gateway;

/// Interval between two checks, each of one instance.
const CHECK_PERIOD: Duration = Duration::from_millis(200);

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

async fn check_next(gateway: &Gateway) {
    let directory = gateway.knowledge.directory();
    gateway
        .links
        .retain(|id| directory.find_instance(id).is_some());
    let Some(id) = gateway.links.next_check() else {
        return;
    };
    let Some(entry) = directory.find_instance(&id) else {
        return;
    };
    match gateway.pool.connect_new(entry.address).await {
        Ok(connection) => {
            gateway.pool.release(connection, None);
            gateway.record_opened(&id);
        }
        Err(_) => gateway.record_check_failed(&id),
    }
}
