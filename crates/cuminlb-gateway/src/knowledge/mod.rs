//! What a node knows about the platform, and from whom.
//!
//! [`follow_table`] follows one table of the store and requests rows from a peer while the store is
//! unreachable. [`TableMirror`] keeps the rows with their versions, so that peers can be served
//! from it in the same form. [`Knowledge`] turns rows into a catalog and a [`Directory`] of
//! instances, groups and nodes.

mod directory;
mod failed_peers;
mod follow_table;
mod instance_records;
#[expect(
    clippy::module_inception,
    reason = "the module is named after its main type"
)]
mod knowledge;
mod node_row;
mod peer_links;
mod register_node;
mod relay_service;
mod row_origin;
mod row_source;
mod table_mirror;

pub(crate) use self::directory::Directory;
pub(crate) use self::follow_table::follow_table;
pub(crate) use self::knowledge::Knowledge;
pub(crate) use self::node_row::NodeRow;
pub(crate) use self::peer_links::PeerLinks;
pub(crate) use self::register_node::register_node;
pub(crate) use self::relay_service::RelayService;
pub(crate) use self::row_source::RowSource;
