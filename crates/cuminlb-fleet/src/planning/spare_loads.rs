//! The choice of spares that load weights before they are needed.

use std::collections::{BTreeMap, HashSet};

use cuminlb_types::prelude::*;

use super::{Candidate, PlanInput};

/// Chooses the spares that should load the model's weights while nothing else is loading.
///
/// With a spare that has loaded the weights, a group is repaired without waiting for a load. Only
/// usable instances in a fabric domain that has a group are spares; domains with the fewest
/// spares that have loaded the weights come first. At most [`PlanInput::load_budget`] spares are
/// returned.
pub fn choose_spares(input: &PlanInput<'_>) -> Vec<InstanceId> {
    let groups = &input.roster.groups;
    let members = groups.iter().flat_map(|group| &group.members);
    let assigned: HashSet<&InstanceId> = members.collect();
    let domains: HashSet<&FabricDomainId> = groups.iter().map(|group| &group.domain).collect();
    let is_spare = |candidate: &&Candidate| {
        candidate.usable
            && domains.contains(&candidate.domain)
            && !assigned.contains(&candidate.instance)
    };
    let mut warm_counts: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
    let mut cold = Vec::new();
    for spare in input.candidates.iter().filter(is_spare) {
        if spare.holds_weights {
            *warm_counts.entry(&spare.domain).or_default() += 1;
        } else {
            cold.push(spare);
        }
    }
    let mut ordered = Vec::new();
    for spare in cold {
        let rank = warm_counts.entry(&spare.domain).or_default();
        ordered.push((*rank, &spare.instance));
        *rank += 1;
    }
    ordered.sort();
    let spares = ordered.into_iter().map(|(_, spare)| spare.clone());
    spares.take(input.load_budget).collect()
}
