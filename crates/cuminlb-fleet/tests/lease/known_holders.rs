//! Who holds the lease, as the other nodes know it.

use cuminlb_fleet::lease::KnownHolder;
use cuminlb_fleet::rows::LeaseRow;
use cuminlb_types::prelude::*;

use crate::support::{TIMING, candidate, node_id, version};

fn row(number: usize, era: u64) -> LeaseRow {
    let write = candidate(number, 1).prepare_write(TIMING.length_ms, tokio::time::Instant::now());
    LeaseRow {
        era: StoreEra(era),
        ..write.row
    }
}

#[test]
fn news_go_to_the_known_leader_although_the_copy_names_an_earlier_one() {
    let mut holder = KnownHolder::default();
    holder.observe(Some(&row(1, 0)), version(0, 9));
    holder.observe(Some(&row(2, 0)), version(1, 4));
    assert_eq!(holder.get(), Some(&node_id(1)));
    holder.observe(None, version(2, 0));
    assert_eq!(holder.get(), Some(&node_id(1)));
    holder.observe(Some(&row(3, 2)), version(2, 5));
    assert_eq!(holder.get(), Some(&node_id(3)));
}

#[test]
fn a_node_that_has_just_started_takes_the_leader_of_the_copy_for_the_leader() {
    let mut holder = KnownHolder::default();
    holder.observe(Some(&row(2, 0)), version(1, 4));
    assert_eq!(holder.get(), Some(&node_id(2)));
}

#[test]
fn a_released_lease_has_no_holder() {
    let mut holder = KnownHolder::default();
    holder.observe(Some(&row(1, 0)), version(0, 9));
    let released = LeaseRow {
        length_ms: Millis(0),
        ..row(1, 0)
    };
    holder.observe(Some(&released), version(0, 10));
    assert_eq!(holder.get(), None);
}
