//! Which instances form which groups.
//!
//! [`plan_groups`] decides the steps, [`RosterChange`] works out what a step changes. Both are
//! plain functions of what the planner knows; the caller carries them out in the table.

mod candidate;
mod group_plan;
mod group_review;
mod instance_pool;
mod owner_ranking;
mod plan_input;
mod plan_step;
mod planned_member;
mod roster_change;

pub use self::candidate::Candidate;
pub use self::group_plan::plan_groups;
pub use self::owner_ranking::OwnerRanking;
pub use self::plan_input::PlanInput;
pub use self::plan_step::PlanStep;
pub use self::planned_member::PlannedMember;
pub use self::roster_change::RosterChange;
