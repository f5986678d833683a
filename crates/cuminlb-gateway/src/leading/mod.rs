//! Forms and repairs groups while this node leads.
//!
//! One node leads at a time, by a lease in the platform's store ([`keep_lease`]). The leader keeps
//! no record of its own: groups are recorded in the entries of their members, and the version of
//! the lease row, with the era of the store, is the base of the epochs that it issues, so that those
//! of a later leader are higher. `cuminlb-assembly` decides what to do; [`Leader`] sends the orders and probes instances.

mod active_lease;
mod boot_time;
mod keep_lease;
mod lead;
mod leader;
mod lease_rows;
mod lease_state;
mod order_report;
mod probe_instance;
mod probe_report;
mod probe_result;
mod store_outage;
mod suspicions;

pub(crate) use self::keep_lease::keep_lease;
pub(crate) use self::lead::lead;
pub(crate) use self::lease_rows::{decode_lease, is_lease_key};
pub(crate) use self::suspicions::Suspicions;

/// The lease of this node as its tasks share it; `None` if it holds none.
pub(crate) type SharedLease = tokio::sync::watch::Sender<Option<active_lease::ActiveLease>>;
