//! An instance whose entry vanishes in an outage of the store is used for a while, as it may only have
//! been unable to write.

use std::time::Duration;

use http::Method;
use tokio::time::{Instant, sleep};

use crate::native_site::{LOOKUP_PATH, NativeSite};

/// The processing time of a plain request.
const SHORT_WORK: Duration = Duration::from_millis(5);

/// How long the store refuses the node.
const OUTAGE: Duration = Duration::from_millis(900);

/// The time after which the node follows the store again, while its failure is still recent.
const RECOVERY: Duration = Duration::from_millis(1_800);

/// How long the test observes where requests go; more than the bound on draining instances.
const OBSERVED: Duration = Duration::from_millis(2_300);

/// The bound on requests to a draining instance is 2 s; what is left is for a request on its way.
const MAX_USE: Duration = Duration::from_millis(1_880);

/// How often the test repeats the loss of an entry.
const ROUNDS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn an_instance_that_left_in_an_outage_is_not_used_until_the_next_cleanup() {
    for _ in 0..ROUNDS {
        let site = NativeSite::start(1, 2, SHORT_WORK).await;
        site.wait_serving().await;
        site.refuse_store(0, true);
        sleep(OUTAGE).await;
        site.refuse_store(0, false);
        sleep(RECOVERY).await;
        site.fleet.rows.remove("servers", "p0");
        let start = Instant::now();
        let mut last_use = Duration::ZERO;
        while start.elapsed() < OBSERVED {
            let sent_after = start.elapsed();
            let id = format!("l{}", sent_after.as_micros());
            let sent = site.send(0, Method::GET, LOOKUP_PATH, &id, &[], "");
            sent.await.unwrap();
            if site.fleet.runs.workers_of(&id).contains(&"p0".to_owned()) {
                last_use = sent_after;
            }
        }
        assert!(last_use < MAX_USE, "{last_use:?}");
    }
}
