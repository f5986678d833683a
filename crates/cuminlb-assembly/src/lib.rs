//! Plans groups of engines whose members report their own seats.
//!
//! A [`GroupView`] is reconstructed from the entries of a group's members. No other record of the
//! group exists, so every new leader sees the same groups. [`plan_assembly`] compares the existing
//! groups with those that the models need ([`GroupTargets`]) and returns the [`PlanStep`]s to
//! apply now; an [`Assembler`] turns them into orders and tracks each order until its effect is
//! visible in the entries.
//!
//! An entry shows what its instance wrote last, which may be long ago. That a head has opened or may
//! still open is tracked apart from it ([`HeadOpenings`]), and its members stay with it until it has
//! itself accepted the order to leave or shown that it closed.
//!
//! A step is safe even if another leader applies steps at the same time: each join carries an epoch
//! that no earlier join had, and a group opens only after every member has reported that epoch.

mod assembler;
mod assembly_state;
mod assembly_view;
mod candidate;
mod forming_group;
mod group_name;
mod group_targets;
mod group_view;
mod head_openings;
mod instance_health;
mod instance_order;
mod join_holds;
mod outstanding_orders;
mod plan_input;
mod plan_step;
mod planning;
mod probe_series;
mod probe_verdict;

pub use crate::assembler::{Assembler, STRAGGLER_SLOWDOWN};
pub use crate::assembly_view::AssemblyView;
pub use crate::forming_group::FormingGroup;
pub use crate::group_name::{group_model, group_name, is_spare_group, spare_group_name};
pub use crate::group_targets::GroupTargets;
pub use crate::group_view::GroupView;
pub use crate::head_openings::HeadOpenings;
pub use crate::instance_health::InstanceHealth;
pub use crate::instance_order::InstanceOrder;
pub use crate::join_holds::JoinHolds;
pub use crate::outstanding_orders::OutstandingOrders;
pub use crate::plan_input::PlanInput;
pub use crate::plan_step::PlanStep;
pub use crate::planning::plan_assembly;
pub use crate::probe_series::ProbeSeries;
pub use crate::probe_verdict::ProbeVerdict;
