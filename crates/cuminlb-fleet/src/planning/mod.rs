//! Which instances form which groups.

mod candidate;
mod group_plan;
mod owner_ranking;
mod plan_step;

pub use self::candidate::Candidate;
pub use self::group_plan::plan_groups;
pub use self::owner_ranking::OwnerRanking;
pub use self::plan_step::PlanStep;
