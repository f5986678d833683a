//! The links of the nodes of a [`NativeSite`] to the instances: how tests cut them, and which node
//! sent a request.

use std::time::Duration;

use cuminlb_native_standins::{LinkMode, LinkScope, NodeLinks};
use cuminlb_test_support::wait_until;
use tokio::time::{Instant, sleep};

use crate::native_site::NativeSite;

/// How often a test looks for a node that has sent a request.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl NativeSite {
    /// Returns the links of a node.
    pub fn links(&self, node: usize) -> &NodeLinks {
        self.nodes[node].links.as_ref().unwrap()
    }

    /// Sets what becomes of the connections of a node to all instances.
    pub async fn set_links(&self, node: usize, mode: LinkMode) {
        self.links(node).set(LinkScope::All, mode).await;
    }

    /// Returns the nodes that have sent a request to instances, one entry per time.
    pub fn senders_of(&self, request: &str) -> Vec<usize> {
        let nodes = 0..self.nodes.len();
        let sent = nodes.map(|node| vec![node; self.links(node).sent(request)]);
        sent.flatten().collect()
    }

    /// Waits until a node other than `first` sends a request to an instance; returns that node.
    ///
    /// # Panics
    ///
    /// Panics if none does within `bound`.
    pub async fn wait_helper(&self, first: usize, request: &str, bound: Duration) -> usize {
        let start = Instant::now();
        loop {
            let mut senders = self.senders_of(request).into_iter();
            if let Some(helper) = senders.find(|sender| *sender != first) {
                return helper;
            }
            assert!(start.elapsed() < bound, "no node has sent {request}");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the number of connections that a node has opened to each instance, by its id.
    pub async fn opened_connections(&self, node: usize, instances: &[String]) -> Vec<usize> {
        let mut opened = Vec::new();
        for instance in instances {
            opened.push(self.links(node).connections(instance).await);
        }
        opened
    }

    /// Returns the node that leads.
    pub fn leader(&self) -> Option<usize> {
        let lease = self.fleet.rows.get("cuminlb", "lease/leader")?;
        let number: usize = lease["holder"].as_str()?.strip_prefix('n')?.parse().ok()?;
        number.checked_sub(1)
    }

    /// Waits until a node leads that knows it; returns that node.
    pub async fn wait_leader(&self) -> usize {
        let mut leader = None;
        wait_until("a node leads", async || {
            leader = self.leader();
            match leader {
                Some(node) => self.metric(node, "cuminlb_leads").await == 1,
                None => false,
            }
        })
        .await
        .unwrap();
        leader.unwrap()
    }
}
