//! [`SimulatedProcess`]: what one start of a node of the simulated fleet knows.

use std::future::{Future, poll_fn};
use std::sync::Arc;
use std::task::Poll;

use cuminlb_replica::{FollowTiming, Follower, RelayPeers, Replica};
use cuminlb_types::prelude::*;
use tokio_util::sync::CancellationToken;

use crate::simulated_fleet::SimulatedNode;
use crate::simulated_sink::SimulatedSink;
use crate::simulated_store::SimulatedStore;

/// One start of a node, which knows nothing of the starts before.
#[derive(Debug, Default)]
pub struct SimulatedProcess {
    pub sink: Arc<SimulatedSink>,
    pub stop: CancellationToken,
    running: Option<(Arc<Replica>, Follower)>,
}

impl SimulatedProcess {
    pub fn new(
        store: Arc<SimulatedStore>,
        peers: impl RelayPeers + 'static,
        bound_ms: Millis,
    ) -> Arc<Self> {
        let sink = Arc::new(SimulatedSink::default());
        let replica = Arc::new(Replica::new(Arc::clone(&sink) as Arc<_>));
        let timing = FollowTiming::new(bound_ms);
        let follower = Follower::new(Arc::clone(&replica), store, Arc::new(peers), timing);
        Arc::new(Self {
            sink,
            stop: CancellationToken::new(),
            running: Some((replica, follower)),
        })
    }

    pub fn replica(&self) -> &Replica {
        &self.running.as_ref().unwrap().0
    }

    pub fn follower(&self) -> &Follower {
        &self.running.as_ref().unwrap().1
    }

    pub fn follows_store(&self) -> bool {
        self.follower().follows_store()
    }

    /// Follows the store or a relay until the process ends; makes no step while the node is paused.
    pub async fn run(&self, node: &SimulatedNode) {
        let mut follow = std::pin::pin!(self.follower().run(self.stop.clone()));
        loop {
            node.wait_running().await;
            let mut paused = std::pin::pin!(node.wait_paused());
            let has_ended = poll_fn(|context| {
                if paused.as_mut().poll(context).is_ready() {
                    return Poll::Ready(false);
                }
                follow.as_mut().poll(context).map(|()| true)
            });
            if has_ended.await {
                return;
            }
        }
    }
}
