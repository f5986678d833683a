//! [`SiteNode`].

use std::net::{IpAddr, SocketAddr};

use crate::Process;

/// One node of a site.
#[derive(Debug)]
pub struct SiteNode {
    /// The id of the node.
    pub id: String,
    /// The availability zone of the node.
    pub zone: String,
    /// The address of the node; its ports are those of every site.
    pub ip: IpAddr,
    /// Where the platform says that peers reach the node.
    pub peer_address: SocketAddr,
    /// The process.
    pub process: Process,
}
