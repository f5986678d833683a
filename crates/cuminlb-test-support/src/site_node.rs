//! A node of a running test site.

use std::net::{IpAddr, SocketAddr};

use crate::Process;

/// One node of a site.
#[derive(Debug)]
pub struct SiteNode {
    /// The node id.
    pub id: String,
    /// The availability zone of the node.
    pub zone: String,
    /// The IP address; the ports are the same for every node.
    pub ip: IpAddr,
    /// The address for peers, as published in the platform's instance list.
    pub peer_address: SocketAddr,
    /// The process of the node.
    pub process: Process,
}
