//! The background tasks with which a node follows the platform, its peers and its groups.
//!
//! Each task is one sequential loop that ends when its cancellation token is cancelled. The task
//! that spawned it joins it.

mod config_error;
mod config_store;
mod fleet_poller;
mod group_monitor;
mod group_owner;
mod group_supervisor;
mod instance_poller;
mod keyed_tasks;
mod lease_manager;
mod member_health;
mod member_probe;
mod outage_watch;
mod peer_exchange;
mod peer_supervisor;
mod plan_candidates;
mod plan_supervisor;
mod plan_transactions;
mod planner;
mod probe_outcome;
mod slot_releaser;
mod slot_reporter;
mod table_notices;
mod weight_loads;

pub use self::config_error::ConfigError;
pub use self::config_store::{apply_config_text, store_config_text};
pub use self::fleet_poller::{poll_fleet, poll_fleet_once};
pub use self::group_supervisor::supervise_groups;
pub use self::instance_poller::poll_instances;
pub use self::lease_manager::{LeaseError, LeaseManager};
pub use self::outage_watch::poll_peers_in_outage;
pub use self::peer_supervisor::supervise_peers;
pub use self::plan_supervisor::supervise_plans;
pub use self::plan_transactions::PlanTransactions;
pub use self::slot_releaser::release_slots;
pub use self::table_notices::{NotifiedNodes, notify_listed_nodes};
