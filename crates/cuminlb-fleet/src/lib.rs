//! Decisions about groups, leases, zones and standing.
//!
//! The table service is the only truth. [`rows`] holds the form of every row that the system
//! keeps there, [`lease`] the rules of a lease, [`planning`] which instances form which groups,
//! [`standing`] whether a node may act on what it last read.
//! Nothing here depends on how messages are encoded or carried.

pub mod lease;
pub mod planning;
pub mod rows;
pub mod standing;
