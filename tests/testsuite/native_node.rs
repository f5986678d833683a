//! [`NativeNode`]: a node process with its own server of the store.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;

use cuminlb_native_standins::NodeLinks;
use cuminlb_standins::StandinServer;
use cuminlb_test_support::Process;

pub const CALLER_PORT: u16 = 8_100;
pub const READY_PORT: u16 = 8_101;
pub const PEER_PORT: u16 = 8_102;
pub const METRICS_PORT: u16 = 8_103;
pub const FORWARDING_PORT: u16 = 8_104;

/// A node process and the store server that it uses.
pub struct NativeNode {
    pub process: Process,
    pub store: StandinServer,
    /// The links of the node to the instances, if the site was started with links.
    pub links: Option<NodeLinks>,
    pub address: Ipv4Addr,
    pub settings: PathBuf,
}

impl NativeNode {
    pub fn url(&self, path: &str) -> String {
        format!("http://{}:{CALLER_PORT}{path}", self.address)
    }

    pub fn caller_address(&self) -> SocketAddr {
        SocketAddr::from((self.address, CALLER_PORT))
    }

    pub fn peer_address(&self) -> SocketAddr {
        SocketAddr::from((self.address, PEER_PORT))
    }

    pub fn metrics_url(&self) -> String {
        format!("http://{}:{METRICS_PORT}/metrics", self.address)
    }

    pub fn ready_url(&self) -> String {
        format!("http://{}:{READY_PORT}/ready", self.address)
    }
}
