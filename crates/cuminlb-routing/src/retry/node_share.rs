//! A node's share of the retries that all nodes may make together.

use std::collections::VecDeque;

use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{RetryAllowance, RetryBounds};

/// Fraction of the extra retries that is used, because some lists of nodes are behind.
const EXTRA_FRACTION: f64 = 0.6;

/// Fraction of the extra retries that nodes use together each time they all start, until retries of
/// earlier processes no longer count.
const STARTING_EXTRA_FRACTION: f64 = 0.1;

/// Fraction of the extra retries that one node uses at most after its start, because its list of nodes
/// may be incomplete.
const MAX_STARTING_EXTRA_FRACTION: f64 = 0.02;

/// Fraction of the ratio that a node uses for the requests that it had in the window before, too.
const RATIO_FRACTION: f64 = 0.7;

/// Fraction of the ratio that a node uses for all further requests. Another node, or an earlier process
/// of this one, may have had them before, and may have used the rest.
const GROWTH_RATIO_FRACTION: f64 = 1.0 - RATIO_FRACTION;

/// A node's share of the retries that all nodes may make together.
///
/// Each node has its part of the extra retries and earns the ratio through its own requests, so that
/// the sum stays within the limit without any message. A node doesn't know what an earlier process of
/// it has used, and the other nodes learn of a new node late. Therefore it takes few extra retries until
/// it has known the list of nodes for as long as retries count. What a removed node has used counts as
/// long, so the node goes on dividing by the largest list of that time.
#[derive(Debug, Default)]
pub struct NodeShare {
    /// Since when the node has known the list of nodes.
    known_since: Option<Instant>,
    /// The numbers of nodes while retries count that no later one exceeds. The last is the current.
    counts: VecDeque<NodeCount>,
}

#[derive(Clone, Copy, Debug)]
struct NodeCount {
    nodes: usize,
    /// When it was last the current number.
    last_at: Instant,
}

impl NodeShare {
    /// Records the number of nodes that the node knows, including itself; zero while it has not read
    /// the list.
    pub fn record_nodes(&mut self, nodes: usize, bounds: &RetryBounds, now: Instant) {
        if nodes == 0 {
            return;
        }
        self.known_since.get_or_insert(now);
        if let Some(current) = self.counts.back_mut() {
            current.last_at = now;
        }
        while self.counts.pop_back_if(|it| it.nodes <= nodes).is_some() {}
        self.counts.push_back(NodeCount {
            nodes,
            last_at: now,
        });
        let validity = bounds.retry_validity();
        let is_old = |count: &NodeCount| now.duration_since(count.last_at) > validity;
        while self.counts.pop_front_if(|it| is_old(it)).is_some() {}
    }

    /// Returns the number of nodes that share the extra retries.
    pub fn nodes(&self) -> usize {
        self.counts.front().map_or(1, |count| count.nodes)
    }

    /// Returns the retries that the node may make to one service.
    pub fn allowance(&self, bounds: &RetryBounds, now: Instant) -> RetryAllowance {
        let retry_validity = bounds.retry_validity();
        let is_over = |since: Instant| now.duration_since(since) > retry_validity;
        let nodes = self.nodes() as f64;
        let extra_fraction = match self.known_since {
            None => 0.0,
            Some(since) if is_over(since) => EXTRA_FRACTION / nodes,
            Some(_) => (STARTING_EXTRA_FRACTION / nodes).min(MAX_STARTING_EXTRA_FRACTION),
        };
        RetryAllowance {
            ratio: Ratio(bounds.ratio.get() * RATIO_FRACTION),
            growth_ratio: Ratio(bounds.ratio.get() * GROWTH_RATIO_FRACTION),
            extra: bounds.extra * extra_fraction,
            window: bounds.window_ms.duration(),
            retry_validity,
        }
    }
}
