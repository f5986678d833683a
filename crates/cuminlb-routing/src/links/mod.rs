//! Decisions about this node's own links to instances.
//!
//! When a connection to an instance fails, either the instance or the link of this node is at fault.
//! The [`InstanceVerdict`] follows from the [`SecondOpinion`]s of other nodes. [`LinkBoard`] keeps the
//! instances that only other nodes reach, and decides by which [`LinkRoute`] a request is sent;
//! [`ForwarderBoard`] decides which node forwards it. [`SilenceReports`] decides whether the reports of
//! nodes replace their second opinions, and [`LostHeads`] which lost heads a node tells others of.

mod adviser_order;
mod check_timing;
mod forwarder_board;
mod forwarder_candidate;
mod forwarder_outcome;
mod instance_verdict;
mod lead_fitness;
mod link_board;
mod link_change;
mod link_failure;
mod link_outage;
mod link_route;
mod loss_source;
mod lost_head;
mod lost_heads;
mod second_opinion;
mod silence_reports;

pub use self::adviser_order::adviser_order;
pub use self::check_timing::CheckTiming;
pub use self::forwarder_board::ForwarderBoard;
pub use self::forwarder_candidate::ForwarderCandidate;
pub use self::forwarder_outcome::ForwarderOutcome;
pub use self::instance_verdict::InstanceVerdict;
pub use self::lead_fitness::LeadFitness;
pub use self::link_board::LinkBoard;
pub use self::link_change::LinkChange;
pub use self::link_failure::LinkFailure;
pub use self::link_route::LinkRoute;
pub use self::loss_source::LossSource;
pub use self::lost_head::LostHead;
pub use self::lost_heads::LostHeads;
pub use self::second_opinion::SecondOpinion;
pub use self::silence_reports::SilenceReports;
