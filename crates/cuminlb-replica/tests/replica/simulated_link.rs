//! [`SimulatedLink`]: a network link of limited bandwidth in virtual time.

use std::sync::Mutex;
use std::time::Duration;

use cuminlb_types::prelude::*;
use tokio::time::{Instant, sleep_until};

/// A link that transfers one message after the other.
#[derive(Debug)]
pub struct SimulatedLink {
    rate: LinkRate,
    busy_until: Mutex<Option<Instant>>,
}

impl SimulatedLink {
    pub fn new(rate: LinkRate) -> Self {
        Self {
            rate,
            busy_until: Mutex::default(),
        }
    }

    /// Waits until a message has passed, after those that were sent before it.
    pub async fn transfer(&self, length: ByteCount) {
        let bits = length.get() as f64 * 8.0;
        let duration = Duration::from_secs_f64(bits / (self.rate.get() * 1_000_000.0));
        let end = {
            let mut busy_until = self.busy_until.lock().unwrap();
            let now = Instant::now();
            let end = busy_until.map_or(now, |until| until.max(now)) + duration;
            *busy_until = Some(end);
            end
        };
        sleep_until(end).await;
    }
}
