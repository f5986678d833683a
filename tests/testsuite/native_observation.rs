//! What the tests observe of a [`NativeSite`]: metrics, engines and groups.

use std::sync::Arc;

use cuminlb_native_standins::Engine;
use cuminlb_test_support::wait_until;
use http::Method;

use crate::native_site::NativeSite;

/// The number of lines of each node's log that a failed test prints.
const PRINTED_LOG_LINES: usize = 150;

impl Drop for NativeSite {
    /// Prints the end of the logs if the test has failed, since they are deleted with the site.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        for node in &self.nodes {
            let log = node.process.log();
            let lines: Vec<&str> = log.lines().collect();
            let first = lines.len().saturating_sub(PRINTED_LOG_LINES);
            eprintln!("log of {}:\n{}", node.address, lines[first..].join("\n"));
        }
    }
}

impl NativeSite {
    /// Returns the sum of a metric of a node over its labels; zero if the node does not list it.
    pub async fn metric(&self, node: usize, name: &str) -> u64 {
        let url = self.nodes[node].metrics_url();
        let response = self.client.call(Method::GET, &url, &[], "").await.unwrap();
        let text = response.text();
        let lines = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            rest.is_some_and(|rest| rest.starts_with([' ', '{']))
        });
        let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok());
        values.sum()
    }

    /// Waits until a version of the catalog is in force at the first node.
    pub async fn wait_catalog(&self, version: u64) {
        wait_until("the catalog is in force", async || {
            self.metric(0, "cuminlb_catalog_version").await == version
        })
        .await
        .unwrap();
    }

    /// Waits until a node accepts connections of callers.
    pub async fn wait_listening(&self, node: usize) {
        let address = self.nodes[node].caller_address();
        wait_until("the node listens", async || {
            tokio::net::TcpStream::connect(address).await.is_ok()
        })
        .await
        .unwrap();
    }

    /// Waits until at least a number of groups serve.
    pub async fn wait_open_groups(&self, count: usize) {
        let is_open = |engine: &Arc<Engine>| engine.seat().is_some_and(|seat| seat.2 == "open");
        wait_until("the groups serve", async || {
            self.engines().filter(is_open).count() >= count
        })
        .await
        .unwrap();
    }

    /// Returns the id of an engine that is the head of a serving group.
    pub fn open_head(&self) -> Option<String> {
        let is_open = |engine: &Arc<Engine>| {
            engine.is_alive() && engine.seat().is_some_and(|seat| seat.2 == "open")
        };
        self.engines()
            .find(is_open)
            .map(|engine| engine.id().to_owned())
    }

    /// Returns the ids of the heads that serve.
    pub fn open_heads(&self) -> Vec<String> {
        let is_open = |engine: &Arc<Engine>| {
            engine.is_alive() && engine.seat().is_some_and(|seat| seat.2 == "open")
        };
        let open = self.engines().filter(is_open);
        open.map(|engine| engine.id().to_owned()).collect()
    }

    /// Returns the id of a member of `head`'s group other than `head`.
    pub fn other_member(&self, head: &str) -> String {
        let seat = self.fleet.engine(head).unwrap().seat().unwrap();
        let is_other_member = |engine: &Arc<Engine>| {
            let at = engine.seat();
            engine.id() != head && at.is_some_and(|at| (at.0, at.1) == (seat.0.clone(), seat.1))
        };
        self.engines()
            .find(is_other_member)
            .unwrap()
            .id()
            .to_owned()
    }

    /// Checks that no engine got an order that violates the protocol.
    pub fn assert_no_violations(&self) {
        for engine in self.engines() {
            assert_eq!(engine.violations(), Vec::<String>::new());
        }
    }

    pub fn engines(&self) -> impl Iterator<Item = Arc<Engine>> {
        let ids = (0..64).map(|number| format!("e{number}"));
        ids.map_while(|id| self.fleet.engine(&id))
    }
}
