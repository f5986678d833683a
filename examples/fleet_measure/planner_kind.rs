//! The planners that the simulation compares.

use std::fmt;

/// The planner that a simulation uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannerKind {
    /// The naive greedy baseline.
    Naive,
    /// The planner of the product.
    Product,
}

impl fmt::Display for PlannerKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Naive => "naive greedy",
            Self::Product => "plan_groups",
        })
    }
}
