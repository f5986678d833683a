//! Decisions about groups, leases, availability zones and the freshness of a node's knowledge.
//!
//! The table service is the single source of truth. [`rows`] defines the format of every row
//! that the system keeps there, [`lease`] the rules of a lease, [`planning`] which instances form
//! which groups, and [`freshness`] whether a node may act on what it last read.
//! Nothing here depends on how messages are encoded or transported.

pub mod freshness;
pub mod lease;
pub mod planning;
pub mod rows;
