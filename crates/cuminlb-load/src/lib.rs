//! An open-loop load generator and its reports, for development only.
//!
//! Requests are sent at the times of an [`ArrivalSchedule`], whether or not earlier ones have
//! finished, and every latency is measured from the scheduled time. A slow system thus can't hide
//! its delays by slowing down its callers (coordinated omission). [`run_load`] executes a
//! [`LoadPlan`] and returns a [`LoadReport`].

mod arrival_schedule;
mod linear_fit;
mod load_plan;
mod load_report;
mod load_run;
mod outcome;
mod process_usage;
mod sample;
mod stream_client;
mod team_load;

pub use crate::arrival_schedule::ArrivalSchedule;
pub use crate::linear_fit::LinearFit;
pub use crate::load_plan::{LoadPlan, LoadTarget};
pub use crate::load_report::{LoadReport, Quantiles};
pub use crate::load_run::run_load;
pub use crate::outcome::Outcome;
pub use crate::process_usage::ProcessUsage;
pub use crate::sample::Sample;
pub use crate::team_load::TeamLoad;
