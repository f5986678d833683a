//! The state that the tasks of a node share.

mod config_in_force;
mod fleet_view;
mod known_nodes;
mod node_state;
mod owned_group;
mod owned_groups;
mod peers;
mod proof;
mod roster_in_force;
mod slot_holdings;
mod table_knowledge;

pub use self::config_in_force::ConfigInForce;
pub use self::fleet_view::FleetView;
pub use self::known_nodes::KnownNodes;
pub use self::node_state::{MAX_WAIT_AT_OWNER_MS, Node, SLOT_RENEWAL_PERIOD_MS};
pub use self::owned_group::OwnedGroup;
pub use self::owned_groups::OwnedGroups;
pub use self::peers::Peers;
pub use self::proof::Proof;
pub use self::roster_in_force::RosterInForce;
pub use self::slot_holdings::SlotHoldings;
pub use self::table_knowledge::TableKnowledge;
