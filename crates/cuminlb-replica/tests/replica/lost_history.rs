//! A store that never has the history that a node asks for is not called without a rest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use cuminlb_catalog::{RowChangeSet, RowStore, SharedRow, StoreError, StoreTable, WriteOutcome};
use cuminlb_peer::RelayPeer;
use cuminlb_replica::{FollowTiming, Follower, Membership, RelayLane, RelayPeers, Replica};
use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::simulated_fleet::{at_era, node_id, node_row};
use crate::simulated_sink::SimulatedSink;

const CALL_TIME: Duration = Duration::from_millis(5);

/// A store that is back from a copy and does not state an era.
#[derive(Debug, Default)]
struct ForgetfulStore {
    calls: AtomicUsize,
}

#[async_trait]
impl RowStore for ForgetfulStore {
    async fn read_table(&self, _: StoreTable) -> Result<RowChangeSet, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(CALL_TIME).await;
        Ok(RowChangeSet {
            is_whole: true,
            rows: Vec::new(),
            version: at_era(0, 300),
        })
    }

    async fn read_row(
        &self,
        _: StoreTable,
        _: &RowKey,
        _: Millis,
    ) -> Result<Option<SharedRow>, StoreError> {
        Ok(None)
    }

    async fn changes(
        &self,
        _: StoreTable,
        after: StoreVersion,
        wait_ms: Millis,
    ) -> Result<RowChangeSet, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        sleep(CALL_TIME).await;
        if after > at_era(0, 300) {
            return Err(StoreError::HistoryGone);
        }
        sleep(wait_ms.duration()).await;
        Ok(RowChangeSet {
            is_whole: false,
            rows: Vec::new(),
            version: at_era(0, 300),
        })
    }

    async fn write(
        &self,
        _: StoreTable,
        _: &RowKey,
        _: StoreVersion,
        _: &[u8],
    ) -> Result<WriteOutcome, StoreError> {
        Ok(WriteOutcome::Conflict { found: None })
    }
}

/// A node that is alone.
#[derive(Debug)]
struct NoPeers;

impl RelayPeers for NoPeers {
    fn membership(&self) -> Membership {
        let row = node_row(1, 3);
        Membership {
            own_id: node_id(1),
            zone: row.zone.clone(),
            leader: None,
            nodes: Arc::new(BTreeMap::from([(node_id(1), row)])),
        }
    }

    fn link(&self, _: &NodeId, _: RelayLane) -> Option<Arc<dyn RelayPeer>> {
        None
    }
}

#[tokio::test(start_paused = true)]
async fn a_history_that_stays_lost_is_not_asked_for_without_a_rest() {
    let store = Arc::new(ForgetfulStore::default());
    let replica = Arc::new(Replica::new(Arc::new(SimulatedSink::default())));
    for table in StoreTable::ALL {
        let changes = RowChangeSet {
            is_whole: true,
            rows: Vec::new(),
            version: at_era(0, 400),
        };
        replica.apply_store_changes(table, changes, Instant::now());
    }
    let follower = Follower::new(
        replica,
        Arc::clone(&store) as Arc<_>,
        Arc::new(NoPeers),
        FollowTiming::new(Millis(2_000)),
    );
    tokio::spawn(async move { follower.run(CancellationToken::new()).await });
    sleep(Duration::from_secs(10)).await;
    // Three tables at the shortest delay after a failed call, twice over.
    let calls = store.calls.load(Ordering::Relaxed);
    assert!(calls < 200, "{calls} calls");
}
