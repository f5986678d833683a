//! Decisions about groups whose members say of themselves where they are.
//!
//! A [`GroupView`] is a group as the entries of its members show it; there is no other record of
//! it, so that whoever leads next sees the same groups. [`plan_assembly`] compares the groups that
//! stand with those that the models need ([`GroupTargets`]) and returns the [`AssemblyStep`]s to
//! take now; an [`Assembler`] turns them into orders and remembers these until they show. A step is safe whoever else takes steps: a join names an epoch that no earlier join
//! had, and an opening follows only when every member has reported that very epoch.

mod assembler;
mod assembly_memory;
mod assembly_step;
mod assembly_view;
mod candidate;
mod forming_group;
mod group_name;
mod group_targets;
mod group_view;
mod head_holds;
mod instance_health;
mod instance_order;
mod late_orders;
mod planning;
mod situation;

pub use crate::assembler::{Assembler, STRAGGLER_SLOWDOWN};
pub use crate::assembly_step::AssemblyStep;
pub use crate::assembly_view::AssemblyView;
pub use crate::forming_group::FormingGroup;
pub use crate::group_name::{group_model, group_name, is_spare_group, spare_group_name};
pub use crate::group_targets::GroupTargets;
pub use crate::group_view::GroupView;
pub use crate::head_holds::HeadHolds;
pub use crate::instance_health::InstanceHealth;
pub use crate::instance_order::InstanceOrder;
pub use crate::late_orders::LateOrders;
pub use crate::planning::plan_assembly;
pub use crate::situation::Situation;
