//! Rendezvous hashing, with which nodes agree on an order of candidates without communicating.

use std::fmt::Display;

use xxhash_rust::xxh3::xxh3_64;

/// Returns the rank of a candidate for a key; the candidate with the highest rank is chosen.
///
/// All nodes compute the same ranks, and the loss of a candidate reassigns only its own keys.
pub fn rendezvous_rank(key: &impl Display, candidate: &impl Display) -> u64 {
    xxh3_64(format!("{key}\u{0}{candidate}").as_bytes())
}
