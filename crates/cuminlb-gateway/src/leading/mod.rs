//! Forms and mends groups while this node leads.
//!
//! One node leads at a time, by a lease in the platform's store. It keeps no record of its own:
//! groups stand in the entries of their members, and the version of the lease's row is the base of
//! the epochs that it gives, so that those of a later leader are higher. `cuminlb-assembly` decides
//! what to do; [`Leader`] gives the orders and remembers those whose effect does not show yet.

mod lead;
mod leader;
mod leader_memory;
mod leadership;
mod lease_rows;
mod order_report;
mod probe_report;
mod suspicions;

pub(crate) use self::lead::lead;
pub(crate) use self::lease_rows::leader_in;
pub(crate) use self::suspicions::Suspicions;
