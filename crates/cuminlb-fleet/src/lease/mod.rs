//! Leases with fencing numbers.
//!
//! A lease is one row of the table. Its holder measures the lease on its own clock from before
//! the write was sent, and stops early by a safety margin. A node that wants to take the lease
//! over waits for the full length after it first saw the current version of the row. Clocks of
//! different machines are never compared.

mod absent_lease;
mod base_epoch;
mod held_lease;
mod known_holder;
mod lease_answer;
mod lease_candidate;
mod lease_timing;
mod lease_write;
mod lease_write_outcome;
mod observed_lease;
mod suspension_watch;

pub use self::absent_lease::AbsentLease;
pub use self::base_epoch::base_epoch;
pub use self::held_lease::HeldLease;
pub use self::known_holder::KnownHolder;
pub use self::lease_answer::LeaseAnswer;
pub use self::lease_candidate::LeaseCandidate;
pub use self::lease_timing::LeaseTiming;
pub use self::lease_write::LeaseWrite;
pub use self::lease_write_outcome::LeaseWriteOutcome;
pub use self::observed_lease::ObservedLease;
pub use self::suspension_watch::SuspensionWatch;
