//! [`GroupChooser`].

use cuminlb_types::prelude::*;
use cuminlb_types::rendezvous_rank;
use rand::seq::{IndexedRandom, SliceRandom};

use super::{GroupChoice, PrefixKey};

/// The cost of leaving the zone of this node, as a part of a group's slots.
const ZONE_COST: f64 = 0.25;

/// The gain of the group whose cache is expected to hold the prefix.
const AFFINITY_GAIN: f64 = 0.3;

/// The load from which on affinity gains nothing, so that a favourite prefix can't overload the
/// group that it belongs to.
const MAX_AFFINITY_LOAD: f64 = 0.75;

/// The load that is assumed where that of no group is known.
const UNKNOWN_LOAD: f64 = 0.5;

/// Chooses the group that a request should try first.
///
/// The choice is the better of two taken at random, beside the group that the prefix belongs to.
/// Two random choices keep many nodes, whose estimates all lag alike, from picking the same best
/// group at once. Without any load, affinity counts for nothing and the spread is even.
#[derive(Clone, Copy, Debug, Default)]
pub struct GroupChooser {
    /// The first part of the request, where affinity may help.
    pub prefix: Option<PrefixKey>,
}

impl GroupChooser {
    /// Chooses one of the groups.
    pub fn choose<'a>(
        &self,
        choices: &'a [GroupChoice],
        rng: &mut impl rand::Rng,
    ) -> Option<&'a GroupChoice> {
        let favourite = self.favourite(choices);
        let usual = usual_load(choices);
        let mut candidates: Vec<&GroupChoice> = choices.sample(rng, 2).collect();
        candidates.extend(favourite);
        candidates.shuffle(rng);
        let cost = |choice: &GroupChoice| {
            let is_favourite = favourite.is_some_and(|other| other.group == choice.group);
            cost(choice, usual, is_favourite)
        };
        candidates
            .into_iter()
            .min_by(|a, b| cost(a).total_cmp(&cost(b)))
    }

    /// Returns the group that the prefix belongs to, where its load is known and low enough.
    fn favourite<'a>(&self, choices: &'a [GroupChoice]) -> Option<&'a GroupChoice> {
        let prefix = self.prefix?;
        let rank = |choice: &&GroupChoice| rendezvous_rank(&prefix, &choice.group);
        let favourite = choices.iter().max_by_key(rank)?;
        let is_light = |load: Ratio| load.get() < MAX_AFFINITY_LOAD;
        favourite.load.is_some_and(is_light).then_some(favourite)
    }
}

/// Returns the mean of the loads that are known: a group without one is neither shunned nor
/// preferred.
fn usual_load(choices: &[GroupChoice]) -> f64 {
    let known: Vec<f64> = choices
        .iter()
        .filter_map(|choice| choice.load)
        .map(Ratio::get)
        .collect();
    if known.is_empty() {
        return UNKNOWN_LOAD;
    }
    known.iter().sum::<f64>() / known.len() as f64
}

fn cost(choice: &GroupChoice, usual: f64, is_favourite: bool) -> f64 {
    let load = choice.load.map_or(usual, Ratio::get);
    let zone = if choice.is_near { 0.0 } else { ZONE_COST };
    let gain = if is_favourite { AFFINITY_GAIN } else { 0.0 };
    load + zone - gain
}
