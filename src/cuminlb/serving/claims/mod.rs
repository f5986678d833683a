//! Claims of requests that must not run twice.
//!
//! Such a request acquires a [`HeldClaim`] through the [`ClaimClient`] and is sent only while it
//! holds the claim. One task writes the claims of this node in batches, and another one settles
//! them, which means that it writes their outcomes. The holder lives in this process and can't be
//! copied, so no request uses a claim whose write was not confirmed in time; its row, which may
//! still appear in the table, is settled as not run.

mod claim_client;
mod claim_error;
mod claim_outcome;
mod claim_request;
mod claim_settler;
mod claim_writer;
mod complete_response;
mod held_claim;
mod pending_claim;
mod settlement;

pub use self::claim_client::{ClaimClient, ClaimTasks};
pub use self::claim_error::ClaimError;
pub use self::claim_outcome::ClaimOutcome;
pub use self::claim_request::ClaimRequest;
pub use self::complete_response::CompleteResponse;
pub use self::held_claim::HeldClaim;
