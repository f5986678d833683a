//! [`PlannerKind`].

use std::fmt;

/// Which planner decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PlannerKind {
    /// The naive greedy planner.
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
