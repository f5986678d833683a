//! Routing decisions for a request: admission control, group selection, slots and retries.
//!
//! The crate is independent of how requests are encoded and transported. A request first passes
//! [`AdmissionControl`]. [`GroupChooser`] then selects the groups to try; the owner of each
//! group keeps a [`SlotLedger`]. A failed attempt may be retried within the [`RetryBudget`]. A
//! request that must not run twice is claimed first, and [`resolve_duplicate`] decides how a
//! duplicate is handled. A request that ends early ends with a [`Refusal`]. [`BodyBudget`] and
//! [`HeadBudget`] bound the memory that requests and responses hold.

mod admission;
mod carried_requests;
mod choice;
mod claim;
mod cold_allowance;
mod connection_activity;
mod connection_limits;
mod connection_phase;
mod crashes;
mod drain_schedule;
mod exchange_kind;
mod limits;
mod links;
mod memory;
mod node_rank;
mod quarantine;
mod refusal;
mod response_owner;
mod retry;
mod slots;
mod streams;
mod urgency;

pub use crate::admission::{
    AdmissionControl, AdmissionLimits, AdmissionPermit, DrainRate, FairQueue, Priority,
    QueuePosition, RequestClass, RetryJitter, ServiceQueue, SlotUsage, SlotVerdict, TeamRates,
    TeamStanding, TokenBucket, Turn, decide_admission,
};
pub use crate::carried_requests::{CarriedRequests, MAX_CARRIED_REQUESTS};
pub use crate::choice::{
    GroupCandidate, GroupChooser, InFlightCount, LoadBoard, LoadEstimates, LoadKey, PrefixKey,
    RetryTimes, Unavailability, WaitDecision,
};
pub use crate::claim::{
    CLAIM_RETENTION_MS, DuplicateResolution, SettleStep, content_digest, next_settle_step,
    resolve_duplicate,
};
pub use crate::cold_allowance::cold_allowance;
pub use crate::connection_activity::ConnectionActivity;
pub use crate::connection_limits::ConnectionLimits;
pub use crate::crashes::{
    CauseReport, CrashBoard, CrashCandidates, CrashCause, CrashRecord, CrashReport, CrashVerdict,
    ProbeSchedule, QuarantinedCause, ReportedCrash, attribute_crashes,
};
pub use crate::drain_schedule::DrainSchedule;
pub use crate::exchange_kind::ExchangeKind;
pub use crate::limits::{
    Availability, InstanceReadiness, LimitChange, LimitPlace, RecentSends, StatedLimit,
};
pub use crate::links::{
    CheckTiming, ForwarderBoard, ForwarderCandidate, ForwarderOutcome, InstanceVerdict,
    LeadFitness, LinkBoard, LinkChange, LinkFailure, LinkRoute, LossSource, LostHead, LostHeads,
    SecondOpinion, SilenceReports, adviser_order,
};
pub use crate::memory::{
    BodyBudget, BodyBuffer, BudgetError, BudgetShare, HeadBudget, HeadShare, HeadsHeld,
};
pub use crate::node_rank::NodeRank;
pub use crate::quarantine::{
    Crash, CrashId, QUARANTINE_MS, Quarantine, Suspect, request_fingerprint,
};
pub use crate::refusal::{Refusal, RefusalKind, RunState};
pub use crate::response_owner::ResponseOwner;
pub use crate::retry::{
    BudgetUse, FailedAttempt, MAX_ATTEMPTS, NodeShare, OpenAttempts, RetryAllowance, RetryBounds,
    RetryBudget, Selection, WindowedBudget,
};
pub use crate::slots::{
    HeldRange, LoadReport, ReleaseReason, SlotDenial, SlotHolder, SlotId, SlotLedger, SlotLoad,
    SlotRequestState, SlotTiming,
};
pub use crate::streams::{EventContent, EventPlace, StreamPosition};
pub use crate::urgency::request_urgency;
