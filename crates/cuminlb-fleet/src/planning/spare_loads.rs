//! [`choose_spares`].

use std::collections::{BTreeMap, HashSet};

use cuminlb_types::prelude::*;

use super::{Candidate, PlanInput};

/// Chooses spares that should load the model's weights while nothing else loads.
///
/// A spare that holds the weights brings its group back without a load. Only usable instances
/// in a fabric domain with a group are spares; domains with the fewest spares that hold the
/// weights come first.
pub fn choose_spares(input: &PlanInput<'_>) -> Vec<InstanceId> {
    let groups = &input.roster.groups;
    let members = groups.iter().flat_map(|group| &group.members);
    let taken: HashSet<&InstanceId> = members.collect();
    let domains: HashSet<&FabricDomainId> = groups.iter().map(|group| &group.domain).collect();
    let is_spare = |found: &&Candidate| {
        found.usable && domains.contains(&found.domain) && !taken.contains(&found.instance)
    };
    let mut warm: BTreeMap<&FabricDomainId, usize> = BTreeMap::new();
    let mut cold = Vec::new();
    for spare in input.candidates.iter().filter(is_spare) {
        if spare.holds_weights {
            *warm.entry(&spare.domain).or_default() += 1;
        } else {
            cold.push(spare);
        }
    }
    let mut ordered = Vec::new();
    for spare in cold {
        let rank = warm.entry(&spare.domain).or_default();
        ordered.push((*rank, &spare.instance));
        *rank += 1;
    }
    ordered.sort();
    let spares = ordered.into_iter().map(|(_, spare)| spare.clone());
    spares.take(input.load_budget).collect()
}
