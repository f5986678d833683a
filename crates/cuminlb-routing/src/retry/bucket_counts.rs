//! Counts of events in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of buckets into which a window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Counts events by short intervals, the buckets.
#[derive(Debug, Default)]
pub(super) struct BucketCounts {
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    first_at: Instant,
    last_at: Instant,
    events: u32,
}

impl BucketCounts {
    /// Counts an event, and forgets those that are older than `kept`.
    pub(super) fn add(&mut self, window: Duration, kept: Duration, now: Instant) {
        let bucket_length = window / BUCKETS_PER_WINDOW;
        let is_old = |bucket: &Bucket| now.duration_since(bucket.last_at) > kept;
        while self.buckets.pop_front_if(|bucket| is_old(bucket)).is_some() {}
        match self.buckets.back_mut() {
            Some(last) if now.duration_since(last.first_at) < bucket_length => {
                last.last_at = now;
                last.events += 1;
            }
            _ => self.buckets.push_back(Bucket {
                first_at: now,
                last_at: now,
                events: 1,
            }),
        }
    }

    /// Returns the number of events that are certainly within the window before `now`.
    pub(super) fn surely_within(&self, window: Duration, now: Instant) -> u32 {
        self.count(|bucket| now.duration_since(bucket.first_at) <= window)
    }

    /// Returns the number of events that may be within the window before `now`.
    pub(super) fn possibly_within(&self, window: Duration, now: Instant) -> u32 {
        self.count(|bucket| now.duration_since(bucket.last_at) <= window)
    }

    fn count(&self, is_counted: impl Fn(&Bucket) -> bool) -> u32 {
        let counted = self.buckets.iter().filter(|bucket| is_counted(bucket));
        counted.map(|bucket| bucket.events).sum()
    }
}
