//! Group selection by load, zone and prefix affinity.

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{GroupCandidate, PrefixKey};

/// The cost of a group in another zone, as a fraction of the group's slots.
const CROSS_ZONE_COST: f64 = 0.25;

/// The bonus of the group whose cache is expected to hold the prefix, as a fraction of its slots.
const AFFINITY_BONUS: f64 = 0.3;

/// The load at and above which affinity has no effect, so that a popular prefix can't overload the
/// group to which it is mapped.
const MAX_AFFINITY_LOAD: f64 = 0.75;

/// The load that is assumed if the load of no group is known.
const DEFAULT_LOAD: f64 = 0.5;

/// Chooses the group that a request should try first.
///
/// The choice is the best of two random groups and the group to which the prefix is mapped. With
/// the power of two random choices, nodes whose estimates are equally outdated do not all pick the
/// same least loaded group at once. If no load is known, affinity is ignored and requests are
/// spread evenly.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupChooser {
    /// The key of the request's prefix, if affinity may help.
    pub prefix: Option<PrefixKey>,
}

impl GroupChooser {
    /// Chooses one of the groups; returns `None` if there is none.
    pub fn choose<'a>(
        &self,
        candidates: &'a [GroupCandidate],
        rng: &mut impl rand::Rng,
    ) -> Option<&'a GroupCandidate> {
        let preferred = self.preferred(candidates);
        let default_load = mean_known_load(candidates);
        let mut compared: Vec<&GroupCandidate> = candidates.sample(rng, 2).collect();
        compared.extend(preferred);
        compared.shuffle(rng);
        let cost = |candidate: &GroupCandidate| {
            let is_preferred = preferred.is_some_and(|other| other.group == candidate.group);
            cost(candidate, default_load, is_preferred)
        };
        compared
            .into_iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the group to which the prefix is mapped by rendezvous hashing, if the load of that
    /// group is known and low enough.
    fn preferred<'a>(&self, candidates: &'a [GroupCandidate]) -> Option<&'a GroupCandidate> {
        let prefix = self.prefix?;
        let rank = |candidate: &&GroupCandidate| rendezvous_rank(&prefix, &candidate.group);
        let preferred = candidates.iter().max_by_key(rank)?;
        let has_capacity = |load: Ratio| load.get() < MAX_AFFINITY_LOAD;
        preferred
            .load
            .is_some_and(has_capacity)
            .then_some(preferred)
    }
}

/// Returns the mean of the known loads, which is assumed for groups of unknown load so that they
/// are neither avoided nor preferred.
fn mean_known_load(candidates: &[GroupCandidate]) -> f64 {
    let known: Vec<f64> = candidates
        .iter()
        .filter_map(|candidate| candidate.load)
        .map(Ratio::get)
        .collect();
    if known.is_empty() {
        return DEFAULT_LOAD;
    }
    known.iter().sum::<f64>() / known.len() as f64
}

/// Returns the cost of a group; the lowest cost is chosen.
fn cost(candidate: &GroupCandidate, default_load: f64, is_preferred: bool) -> f64 {
    let load = candidate.load.map_or(default_load, Ratio::get);
    let zone_cost = if candidate.is_same_zone {
        0.0
    } else {
        CROSS_ZONE_COST
    };
    let bonus = if is_preferred { AFFINITY_BONUS } else { 0.0 };
    load + zone_cost - bonus
}
