//! Which connections hold memory for heads, and which of them are closed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::task::{Context, Poll, Waker};

use tokio::sync::Notify;

use super::head_holder::HeadHolder;
use super::heads_held::HeadsHeld;

/// The connections that hold memory for heads.
///
/// What a connection holds is counted until it has released it, also after it was evicted, so that the
/// sum never exceeds the total, however late the tasks of connections run. Only a single head may
/// exceed it.
#[derive(Debug)]
pub(super) struct HeadPool {
    total_bytes: u64,
    used_bytes: u64,
    last_id: u64,
    holders: BTreeMap<u64, HeadHolder>,
    /// The connections that wait until an evicted one has released what it holds.
    waiting: BTreeMap<u64, Waker>,
}

impl HeadPool {
    pub(super) const fn new(total_bytes: u64) -> Self {
        Self {
            total_bytes,
            used_bytes: 0,
            last_id: 0,
            holders: BTreeMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    pub(super) const fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Holds `needed_bytes` for a connection, more than it held before. If too little is left, the
    /// connections with the largest incomplete heads are evicted, and this one waits for them.
    pub(super) fn poll_grow(
        &mut self,
        cx: &Context<'_>,
        id: u64,
        needed_bytes: u64,
        eviction: &Arc<Notify>,
    ) -> Poll<Result<(), HeadsHeld>> {
        let holder = self.holders.get(&id);
        if holder.is_some_and(|holder| holder.is_evicted) {
            return Poll::Ready(Err(HeadsHeld));
        }
        let held_bytes = holder.map_or(0, |holder| holder.held_bytes);
        let others_bytes = self.used_bytes - held_bytes;
        let wanted_bytes = others_bytes.saturating_add(needed_bytes);
        if others_bytes > 0 && wanted_bytes > self.total_bytes {
            if !self.evict(id, wanted_bytes - self.total_bytes, needed_bytes) {
                return Poll::Ready(Err(HeadsHeld));
            }
            self.waiting.insert(id, cx.waker().clone());
            return Poll::Pending;
        }
        self.waiting.remove(&id);
        self.used_bytes = wanted_bytes;
        let holder = self.holders.entry(id).or_insert_with(|| HeadHolder {
            held_bytes: 0,
            is_complete: false,
            is_evicted: false,
            eviction: Arc::clone(eviction),
        });
        holder.held_bytes = needed_bytes;
        Poll::Ready(Ok(()))
    }

    /// Holds less for a connection than before.
    pub(super) fn shrink(&mut self, id: u64, needed_bytes: u64) {
        self.waiting.remove(&id);
        let Some(holder) = self.holders.get_mut(&id) else {
            return;
        };
        self.used_bytes -= holder.held_bytes.saturating_sub(needed_bytes);
        holder.held_bytes = holder.held_bytes.min(needed_bytes);
        if holder.held_bytes == 0 {
            self.holders.remove(&id);
        }
        self.wake_waiting();
    }

    /// Keeps a connection whose head is complete from being evicted.
    pub(super) fn complete(&mut self, id: u64) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_complete = true;
            // Those that wait for it need another one.
            if std::mem::take(&mut holder.is_evicted) {
                self.wake_waiting();
            }
        }
    }

    pub(super) fn is_evicted(&self, id: u64) -> bool {
        let holder = self.holders.get(&id);
        holder.is_some_and(|holder| holder.is_evicted)
    }

    /// Evicts connections other than `id` until `bytes` will be released, the largest first; returns
    /// `false`, and evicts none, if those that hold at least `min_bytes` hold too little.
    fn evict(&mut self, id: u64, bytes: u64, min_bytes: u64) -> bool {
        let mut released_bytes = 0;
        let mut candidates = Vec::new();
        for (other, holder) in &mut self.holders {
            if holder.is_evicted {
                released_bytes += holder.held_bytes;
            } else if *other != id && !holder.is_complete && holder.held_bytes >= min_bytes {
                candidates.push(holder);
            }
        }
        let available_bytes: u64 = candidates.iter().map(|holder| holder.held_bytes).sum();
        if released_bytes + available_bytes < bytes {
            return false;
        }
        candidates.sort_unstable_by_key(|holder| Reverse(holder.held_bytes));
        for holder in candidates {
            if released_bytes >= bytes {
                break;
            }
            holder.is_evicted = true;
            holder.eviction.notify_one();
            released_bytes += holder.held_bytes;
        }
        true
    }

    fn wake_waiting(&mut self) {
        for waker in std::mem::take(&mut self.waiting).into_values() {
            waker.wake();
        }
    }
}
