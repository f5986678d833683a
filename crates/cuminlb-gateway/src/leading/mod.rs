//! Forms and mends groups while this node leads.
//!
//! One node leads at a time, by a lease in the platform's store ([`keep_lease`]). It keeps no
//! record of its own: groups stand in the entries of their members, and the version of the lease's
//! row is the base of the epochs that it gives, so that those of a later leader are higher.
//! `cuminlb-assembly` decides what to do; [`Leader`] gives the orders and asks instances how they
//! are.

mod boot_time;
mod keep_lease;
mod lead;
mod leader;
mod lease_in_force;
mod lease_rows;
mod lease_state;
mod order_report;
mod outage_cover;
mod probe_report;
mod suspicions;

pub(crate) use self::keep_lease::keep_lease;
pub(crate) use self::lead::lead;
pub(crate) use self::lease_rows::current_leader;
pub(crate) use self::suspicions::Suspicions;

/// The lease of this node as its tasks share it; `None` while it has none.
pub(crate) type SharedLease = tokio::sync::watch::Sender<Option<lease_in_force::LeaseInForce>>;
