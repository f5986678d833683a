//! The costs of a simulated run, by which planners are compared.

use std::iter::Sum;
use std::ops::Add;

/// The costs of one run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Measures {
    /// The group-seconds in which wanted groups did not serve.
    pub(crate) downtime_group_s: u64,
    /// The downtime that no planner could avoid, because the usable instances could not form
    /// enough groups.
    pub(crate) unavoidable_group_s: u64,
    /// The avoidable downtime while a zone was out or within half an hour of a zone change.
    pub(crate) zone_change_group_s: u64,
    /// The accelerator-seconds of usable accelerators outside any serving group.
    pub(crate) stranded_accelerator_s: u64,
}

impl Measures {
    /// Returns the weighted sum of the costs, in which a group-second counts as many
    /// accelerator-seconds as a group has accelerators.
    pub(crate) fn weighted_cost(&self, weights: [f64; 3], accelerators_per_group: f64) -> f64 {
        let [downtime, stranded, zone_change] = weights;
        let seconds = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        downtime * accelerators_per_group * seconds(self.downtime_group_s)
            + stranded * seconds(self.stranded_accelerator_s)
            + zone_change * accelerators_per_group * seconds(self.zone_change_group_s)
    }
}

impl Add for Measures {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            downtime_group_s: self.downtime_group_s + other.downtime_group_s,
            unavoidable_group_s: self.unavoidable_group_s + other.unavoidable_group_s,
            zone_change_group_s: self.zone_change_group_s + other.zone_change_group_s,
            stranded_accelerator_s: self.stranded_accelerator_s + other.stranded_accelerator_s,
        }
    }
}

impl Sum for Measures {
    fn sum<I: Iterator<Item = Self>>(iter: I) -> Self {
        iter.fold(Self::default(), Add::add)
    }
}
