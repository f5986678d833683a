//! Quarantine of the causes of crashes, which nodes find together.
//!
//! A request, or a part of its prompt that other requests share, may crash each instance that begins
//! to respond to it. When an instance crashes, everything that it had begun and not yet responded to
//! is a candidate. [`CrashBoard`] keeps the crashes and their candidates of all nodes, and the causes
//! that ran successfully since. What is a candidate of several crashes and never ran in between is
//! quarantined; see [`attribute_crashes`]. Now and then one request is let through as a probe, so that
//! a wrong conclusion does not last.

mod attribution;
mod cause_report;
mod crash_board;
mod crash_candidates;
mod crash_cause;
mod crash_record;
mod crash_report;
mod crash_state;
mod crash_verdict;
mod probe_schedule;
mod quarantined_cause;
mod reported_crash;

pub use self::attribution::attribute_crashes;
pub use self::cause_report::CauseReport;
pub use self::crash_board::CrashBoard;
pub use self::crash_candidates::CrashCandidates;
pub use self::crash_cause::CrashCause;
pub use self::crash_record::CrashRecord;
pub use self::crash_report::CrashReport;
pub use self::crash_verdict::CrashVerdict;
pub use self::probe_schedule::ProbeSchedule;
pub use self::quarantined_cause::QuarantinedCause;
pub use self::reported_crash::ReportedCrash;
