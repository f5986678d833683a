//! The state that the tasks of a node share: the fleet view, owned groups, slots and freshness.

mod active_config;
mod current_roster;
mod fleet_view;
mod listed_nodes;
mod node_state;
mod owned_group;
mod owned_groups;
mod peers;
mod proof;
mod slot_requests;
mod table_freshness;

pub use self::active_config::ActiveConfig;
pub use self::current_roster::CurrentRoster;
pub use self::fleet_view::FleetView;
pub use self::listed_nodes::ListedNodes;
pub use self::node_state::{MAX_WAIT_AT_OWNER_MS, Node, SLOT_RENEWAL_PERIOD_MS};
pub use self::owned_group::OwnedGroup;
pub use self::owned_groups::OwnedGroups;
pub use self::peers::Peers;
pub use self::proof::Proof;
pub use self::slot_requests::SlotRequests;
pub use self::table_freshness::TableFreshness;
