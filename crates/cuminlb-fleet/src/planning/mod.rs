//! The planning of groups: which instances form which groups.
//!
//! [`plan_groups`] decides the steps, and [`RosterChange`] computes what a step changes. Both are
//! pure functions of the planner's input; the caller commits the changes to the table.

mod candidate;
mod group_plan;
mod group_review;
mod instance_pool;
mod owner_ranking;
mod plan_input;
mod plan_step;
mod planned_member;
mod roster_change;
mod spare_loads;

pub use self::candidate::Candidate;
pub use self::group_plan::plan_groups;
pub use self::owner_ranking::OwnerRanking;
pub use self::plan_input::PlanInput;
pub use self::plan_step::PlanStep;
pub use self::planned_member::PlannedMember;
pub use self::roster_change::RosterChange;
pub use self::spare_loads::choose_spares;
