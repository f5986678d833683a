//! [`Measures`].

use std::iter::Sum;
use std::ops::Add;

/// What one run cost.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Measures {
    /// The time that wanted groups did not serve.
    pub(crate) downtime_group_s: u64,
    /// The part of it in which the usable instances could not have formed more groups.
    pub(crate) unavoidable_group_s: u64,
    /// The avoidable part of it while a zone was out and within half an hour of its return.
    pub(crate) zone_change_group_s: u64,
    /// The time that usable accelerators were outside any serving group.
    pub(crate) stranded_accelerator_s: u64,
}

impl Measures {
    /// Weighs the measures; a group counts as its accelerators.
    pub(crate) fn weighted(&self, weights: [f64; 3], accelerators: f64) -> f64 {
        let [downtime, stranded, zone_change] = weights;
        let seconds = |value: u64| f64::from(u32::try_from(value).unwrap_or(u32::MAX));
        downtime * accelerators * seconds(self.downtime_group_s)
            + stranded * seconds(self.stranded_accelerator_s)
            + zone_change * accelerators * seconds(self.zone_change_group_s)
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
    fn sum<I: Iterator<Item = Self>>(all: I) -> Self {
        all.fold(Self::default(), Add::add)
    }
}
