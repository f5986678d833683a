//! Tests of the loopback addresses that sites claim.

use std::collections::BTreeSet;
use std::net::TcpListener;

use cuminlb_test_support::LoopbackBlock;

/// More sites than one test process ever had at a time.
const SITES: usize = 100;

/// Addresses used to repeat after 16 sites of a process, and in processes whose ids differ by 256.
#[test]
fn no_two_sites_share_an_address() {
    let blocks: Vec<_> = (0..SITES)
        .map(|_| LoopbackBlock::claim().unwrap())
        .collect();
    let addresses = blocks
        .iter()
        .flat_map(|block| (0..15).map(|it| block.address(it)));
    let addresses: BTreeSet<_> = addresses.collect();
    assert_eq!(addresses.len(), SITES * 15);
}

#[test]
fn nodes_can_listen_on_the_addresses_of_a_block() {
    let block = LoopbackBlock::claim().unwrap();
    for position in 0..15 {
        TcpListener::bind((block.address(position), 8_100)).unwrap();
    }
}
