//! The nodes together stay within the rate limit of a cold instance, however many they are.

use cuminlb_routing::cold_allowance;
use cuminlb_types::prelude::*;
use proptest::prelude::*;

fn sum(limit_per_s: f64, nodes: usize) -> usize {
    let limit = RequestsPerSecond(limit_per_s);
    (0..nodes)
        .map(|position| cold_allowance(limit, nodes, position))
        .sum()
}

#[test]
fn hundreds_of_nodes_stay_within_a_limit_of_a_few_requests() {
    // One request for each node would be 82 and 295 requests.
    assert_eq!(sum(16.8, 82), 16);
    assert_eq!(sum(18.0, 295), 18);
}

#[test]
fn a_few_nodes_use_the_whole_limit() {
    assert_eq!(sum(16.8, 9), 16);
    assert_eq!(cold_allowance(RequestsPerSecond(16.8), 1, 0), 16);
}

proptest! {
    #[test]
    fn the_sum_is_the_limit(limit_per_s in 0.0..500.0_f64, nodes in 1_usize..400) {
        prop_assert_eq!(sum(limit_per_s, nodes), limit_per_s.floor() as usize);
    }
}
