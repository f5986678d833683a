//! [`GroupChoice`] and [`choose_group`].

use cuminlb_types::prelude::*;
use rand::seq::IndexedRandom;

/// One group that a request could be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct GroupChoice {
    /// The group.
    pub group: GroupId,
    /// The epoch.
    pub epoch: Epoch,
    /// The estimated cost of sending the request there; lower is better.
    pub cost: f64,
}

/// Chooses a group: the better of two taken at random.
///
/// Two random choices keep many nodes, whose estimates all lag alike, from picking the same best
/// group at once.
pub fn choose_group<'a>(
    choices: &'a [GroupChoice],
    rng: &mut impl rand::Rng,
) -> Option<&'a GroupChoice> {
    let pair = choices.sample(rng, 2);
    pair.min_by(|a, b| a.cost.total_cmp(&b.cost))
}
