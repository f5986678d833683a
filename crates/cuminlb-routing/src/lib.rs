//! Decisions that a request meets: admission, choice of group, slots and retries.
//!
//! Nothing here depends on how requests are encoded or carried. A request first passes
//! [`Admission`]; [`GroupChooser`] then names the groups to try, each of whose owners keeps a
//! [`SlotLedger`]; a failed try may be repeated within the [`RetryBudget`]. A request that may
//! not run twice is claimed first; [`judge_repeat`] says what a repeat of it gets. Whatever ends a
//! request early is a [`Refusal`].

mod admission;
mod choice;
mod claim;
mod quarantine;
mod refusal;
mod retry;
mod slots;
mod urgency;

pub use crate::admission::{
    Admission, AdmissionLimits, AdmissionPermit, DrainRate, FairQueue, Priority, QueuePlace,
    RetrySpread, ServiceQueue, TeamRates, TokenBucket, Turn,
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
