//! The waits and timeouts of following.

use std::time::Duration;

use cuminlb_types::prelude::*;

/// Fraction of the propagation bound that a call to the store waits for a change.
const STORE_WAIT_FRACTION: f64 = 0.4;

/// Fraction of the bound from which on the rows of a peer are too old to rely on.
const MAX_PEER_AGE_FRACTION: f64 = 0.55;

/// Fraction of the bound up to which the rows of a peer are recent enough in place of the store. The
/// rows of a node that the store serves are up to as old as a call to the store waits.
const MAX_SUBSTITUTE_AGE_FRACTION: f64 = 0.45;

/// Fraction of the bound that a call to a peer waits for a change.
const PEER_WAIT_FRACTION: f64 = 0.2;

/// Fraction of the bound after which rows that came together are applied together.
const BATCH_FRACTION: f64 = 0.06;

/// Fraction of the bound between two reads of the nodes, whose changes are rarely urgent.
const NODES_BATCH_FRACTION: f64 = 0.2;

/// Fraction of the bound between two reads by a node that found no relay.
const FALLBACK_BATCH_FRACTION: f64 = 0.25;

/// Throughput that a transfer of a large value is given time for, in bytes per millisecond.
const MIN_BYTES_PER_MS: u64 = 250;

/// The waits and timeouts of following, derived from the time within which a change must be known
/// everywhere.
///
/// A node whose relay fails silently notices it after the maximum age, a wait and a timeout of a
/// call, which together are below the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FollowTiming {
    /// How long a call to the store waits for a change.
    pub store_wait_ms: Millis,
    /// Age from which on the rows of a peer are too old to rely on.
    pub max_peer_age_ms: Millis,
    /// Age up to which the rows of a peer are recent enough in place of the store.
    pub max_substitute_age_ms: Millis,
    /// How long a call to a peer waits for a change.
    pub peer_wait_ms: Millis,
    /// Delay after a change of the instances, because changes come in bursts.
    pub batch_delay: Duration,
    /// Delay after a change of the nodes.
    pub nodes_batch_delay: Duration,
    /// Delay after a change on a node that follows the store only because it found no relay. There
    /// may be many of them.
    pub fallback_batch_delay: Duration,
}

impl FollowTiming {
    /// Derives the waits from the time within which a change must be known everywhere.
    pub fn new(bound_ms: Millis) -> Self {
        let fraction = |fraction: f64| bound_ms.duration().mul_f64(fraction);
        Self {
            store_wait_ms: fraction(STORE_WAIT_FRACTION).into(),
            max_peer_age_ms: fraction(MAX_PEER_AGE_FRACTION).into(),
            max_substitute_age_ms: fraction(MAX_SUBSTITUTE_AGE_FRACTION).into(),
            peer_wait_ms: fraction(PEER_WAIT_FRACTION).into(),
            batch_delay: fraction(BATCH_FRACTION),
            nodes_batch_delay: fraction(NODES_BATCH_FRACTION),
            fallback_batch_delay: fraction(FALLBACK_BATCH_FRACTION),
        }
    }

    /// Returns how much longer than a short one a transfer of `length` may take.
    pub const fn transfer_time_ms(length: ByteCount) -> Millis {
        Millis(length.get() / MIN_BYTES_PER_MS)
    }
}
