//! Decisions that a request meets: admission, choice of group, slots and retries.
//!
//! Nothing here depends on how requests are encoded or carried. A request first passes
//! [`Admission`]; [`choose_group`] then names the groups to try, each of whose owners keeps a
//! [`SlotLedger`]; a failed try may be repeated within the [`RetryBudget`]. Whatever ends a
//! request early is a [`Refusal`].

mod admission;
mod choice;
mod refusal;
mod retry;
mod slots;

pub use crate::admission::{Admission, AdmissionLimits, AdmissionPermit};
pub use crate::choice::{GroupChoice, choose_group};
pub use crate::refusal::{Refusal, RefusalKind, RunState};
pub use crate::retry::RetryBudget;
pub use crate::slots::{
    AskState, HeldRange, LoadReport, SlotDenial, SlotEnd, SlotHolder, SlotId, SlotLedger, SlotLoad,
    SlotTerms,
};
