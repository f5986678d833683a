//! What a node knows about the platform.
//!
//! [`Knowledge`] turns the rows of the node's replica into a catalog and a [`Directory`] of
//! instances, groups and nodes; `RowRecords` applies them. [`PeerLinks`] holds the connections to the other nodes, and
//! [`RelayService`] serves them. [`register_node`] lists this node in the store.

mod directory;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod knowledge;
mod node_peers;
mod peer_links;
mod register_node;
mod relay_service;
mod row_news;
mod row_records;

pub(crate) use self::directory::Directory;
pub(crate) use self::knowledge::Knowledge;
pub(crate) use self::node_peers::NodePeers;
pub(crate) use self::peer_links::PeerLinks;
pub(crate) use self::register_node::register_node;
pub(crate) use self::relay_service::RelayService;
