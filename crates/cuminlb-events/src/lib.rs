//! Typed events, the hybrid logical clock and the bounded event log behind the timeline.
//!
//! Every decision that an on-call operator would want explained is an [`Event`]. A node records
//! its events in its bounded [`EventLog`]. `cuminctl timeline` merges the logs of all nodes by
//! [`HybridTime`], which preserves causal order even if the wall clocks differ.

mod denial_aggregator;
mod denial_cause;
mod dissolve_cause;
mod event;
mod event_filter;
mod event_kind;
mod event_log;
mod event_metrics;
mod event_ring;
mod event_subjects;
mod event_text;
mod hybrid_clock;
mod hybrid_time;
mod report;
mod request_outcome;

pub use crate::denial_aggregator::DenialAggregator;
pub use crate::denial_cause::DenialCause;
pub use crate::dissolve_cause::DissolveCause;
pub use crate::event::Event;
pub use crate::event_filter::EventFilter;
pub use crate::event_kind::EventKind;
pub use crate::event_log::EventLog;
pub use crate::event_metrics::EventMetrics;
pub use crate::hybrid_clock::HybridClock;
pub use crate::hybrid_time::HybridTime;
pub use crate::report::{GroupReport, NodeReport, ServiceReport, TeamReport};
pub use crate::request_outcome::RequestOutcome;
