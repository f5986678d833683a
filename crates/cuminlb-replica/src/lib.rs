//! A node's copy of the platform's store, and how it is kept recent.
//!
//! [`Replica`] holds the rows of all tables with their versions, whichever way they arrived, and
//! passes new ones to a [`RowSink`]. [`Follower`] keeps it recent: a few nodes of each availability
//! zone follow the store, and the others follow one of these ([`RowOrigin`] decides). News travel in
//! small messages. A large value travels as the list of its chunks ([`ChunkIndex`]): a node that
//! lacks much of it reads the row from the store, and otherwise requests the missing chunks from
//! peers ([`ValueAssembly`]), apart from the news. [`FollowTiming`] derives all waits and timeouts
//! from the time within which a change must be known everywhere.
//!
//! What a node knows may be newer than a row of the copy that the store was restored from.
//! [`InstanceRecords`], [`ZoneRecords`], [`NodeRecords`] and [`CatalogOrigin`] decide what is kept.

mod announcement;
mod applied_rows;
mod chunk_index;
mod failed_peers;
mod fetch_values;
mod follow_relay;
mod follow_store;
mod follow_timing;
mod follower;
mod indexed_value;
mod membership;
mod mirror_rows;
mod node_capacity;
mod node_row;
mod pending_value;
mod read_at_start;
mod records;
mod relay_lane;
mod relay_peers;
mod relay_ranking;
mod replica;
mod replica_state;
mod row_origin;
mod row_sink;
mod row_source;
mod table_mirror;
mod table_update;
mod value_assembly;
mod value_indexes;

pub use crate::chunk_index::ChunkIndex;
pub use crate::failed_peers::FailedPeers;
pub use crate::follow_timing::FollowTiming;
pub use crate::follower::Follower;
pub use crate::membership::Membership;
pub use crate::node_capacity::NodeCapacity;
pub use crate::node_row::NodeRow;
pub use crate::pending_value::PendingValue;
pub use crate::records::{
    CatalogOrigin, InstanceRecords, LeavingInstances, NodeRecords, ZoneRecords,
};
pub use crate::relay_lane::RelayLane;
pub use crate::relay_peers::RelayPeers;
pub use crate::relay_ranking::RelayRanking;
pub use crate::replica::Replica;
pub use crate::row_origin::RowOrigin;
pub use crate::row_sink::RowSink;
pub use crate::row_source::RowSource;
pub use crate::table_mirror::TableMirror;
pub use crate::value_assembly::ValueAssembly;
