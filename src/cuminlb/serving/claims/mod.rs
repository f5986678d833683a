//! Carries out claims: one task writes the claims of this node, one writes their ends.
//!
//! A request that may not run twice asks the [`ClaimClient`] for a [`HeldClaim`] and is sent only
//! while it holds one. The holder is in this process and can't be copied, so a claim whose write
//! was not certain in time is used by nobody; the row that may yet appear is settled as not run.

mod claim_attempt;
mod claim_client;
mod claim_failure;
mod claim_order;
mod claim_settler;
mod claim_writer;
mod held_claim;
mod settlement;
mod wanted_claim;
mod whole_answer;

pub use self::claim_attempt::ClaimAttempt;
pub use self::claim_client::{ClaimClient, ClaimTasks};
pub use self::claim_failure::ClaimFailure;
pub use self::held_claim::HeldClaim;
pub use self::wanted_claim::WantedClaim;
pub use self::whole_answer::WholeAnswer;
