//! Rendezvous hashing, by which nodes agree on an order without talking.

use std::fmt::Display;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the rank of a candidate for a key; the highest rank wins.
///
/// Every node computes the same ranks, and the loss of one candidate moves only its own keys.
pub fn rendezvous_rank(key: &impl Display, candidate: &impl Display) -> u64 {
    xxh3_64(format!("{key}\u{0}{candidate}").as_bytes())
}
