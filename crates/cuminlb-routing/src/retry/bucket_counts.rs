//! Counts of events in a sliding window.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Number of buckets into which a window is divided.
const BUCKETS_PER_WINDOW: u32 = 20;

/// Counts events by short intervals, the buckets.
#[derive(Debug)]
pub(super) struct BucketCounts {
    bucket_length: Duration,
    buckets: VecDeque<Bucket>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    events: u32,
}

impl BucketCounts {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            bucket_length: window / BUCKETS_PER_WINDOW,
            buckets: VecDeque::new(),
        }
    }

    /// Counts an event, and forgets those that no window includes any more.
    pub(super) fn add(&mut self, now: Instant) {
        let kept = self.bucket_length * (BUCKETS_PER_WINDOW + 2);
        while let Some(first) = self.buckets.front() {
            if now.duration_since(first.start) < kept {
                break;
            }
            self.buckets.pop_front();
        }
        match self.buckets.back_mut() {
            Some(last) if now.duration_since(last.start) < self.bucket_length => last.events += 1,
            _ => self.buckets.push_back(Bucket {
                start: now,
                events: 1,
            }),
        }
    }

    /// Returns the number of events that are certainly within the window before `now`.
    pub(super) fn surely_within(&self, window: Duration, now: Instant) -> u32 {
        self.count_started_within(window, now)
    }

    /// Returns the number of events that may be within the window before `now`.
    pub(super) fn possibly_within(&self, window: Duration, now: Instant) -> u32 {
        self.count_started_within(window + self.bucket_length, now)
    }

    fn count_started_within(&self, max_age: Duration, now: Instant) -> u32 {
        let is_recent = |bucket: &&Bucket| now.duration_since(bucket.start) <= max_age;
        let recent = self.buckets.iter().filter(is_recent);
        recent.map(|bucket| bucket.events).sum()
    }
}
