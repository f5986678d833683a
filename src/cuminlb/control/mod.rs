//! The tasks by which a node watches the platform, its peers and its groups.
//!
//! Each task is written straight down as one loop that ends when its token is cancelled, and is
//! joined by the task that spawned it.

mod config_error;
mod config_store;
mod fleet_poller;
mod gathering;
mod group_keeper;
mod group_supervisor;
mod group_watch;
mod instance_poller;
mod keyed_tasks;
mod lease_seat;
mod member_probe;
mod member_watch;
mod outage_watch;
mod peer_supervisor;
mod peer_task;
mod plan_inventory;
mod plan_supervisor;
mod plan_transactions;
mod planner;
mod probe_outcome;
mod slot_releaser;
mod slot_reporter;
mod weight_loads;

pub use self::config_error::ConfigError;
pub use self::config_store::{put_text, store_text};
pub use self::fleet_poller::{poll_fleet, poll_fleet_once};
pub use self::gathering::{Gathered, gather};
pub use self::group_supervisor::supervise_groups;
pub use self::instance_poller::poll_instances;
pub use self::lease_seat::{LeaseSeat, SeatError};
pub use self::outage_watch::watch_outage;
pub use self::peer_supervisor::supervise_peers;
pub use self::plan_supervisor::supervise_plans;
pub use self::plan_transactions::PlanTransactions;
pub use self::slot_releaser::release_slots;
