//! Routing decisions for a request: admission control, group selection, slots and retries.
//!
//! The crate is independent of how requests are encoded and transported. A request first passes
//! [`Admission`]. [`GroupChooser`] then selects the groups to try; the owner of each
//! group keeps a [`SlotLedger`]. A failed attempt may be retried within the [`RetryBudget`]. A
//! request that must not run twice is claimed first, and [`judge_repeat`] decides how a
//! duplicate is handled. A request that ends early ends with a [`Refusal`].

mod admission;
mod choice;
mod claim;
mod quarantine;
mod refusal;
mod retry;
mod slots;
mod urgency;

pub use crate::admission::{
    Admission, AdmissionLimits, AdmissionPermit, DrainRate, FairQueue, Priority, QueuePosition,
    RetryJitter, ServiceQueue, TeamRates, TokenBucket, Turn,
};
pub use crate::choice::{GroupChoice, GroupChooser, LoadEstimates, PrefixKey};
pub use crate::claim::{
    CLAIM_RETENTION_MS, RepeatVerdict, SettleStep, content_digest, judge_repeat, next_settle_step,
};
pub use crate::quarantine::{
    Crash, CrashId, QUARANTINE_MS, Quarantine, Suspect, request_fingerprint,
};
pub use crate::refusal::{Refusal, RefusalKind, RunState};
pub use crate::retry::{FailedTry, MAX_TRIES, RetryBudget};
pub use crate::slots::{
    AskState, HeldRange, LoadReport, SlotDenial, SlotEnd, SlotHolder, SlotId, SlotLedger, SlotLoad,
    SlotTerms,
};
pub use crate::urgency::spread_urgency;
