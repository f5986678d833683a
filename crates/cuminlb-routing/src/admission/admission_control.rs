//! Admission control: the per-team rate limits and the queues of the services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_config::TeamSpec;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{AdmissionLimits, AdmissionPermit, ServiceQueue, TeamRates};
use crate::{Refusal, RefusalKind};

/// Admits requests within the rate of each team, and queues those of each service fairly.
#[derive(Debug)]
pub struct AdmissionControl {
    limits: AdmissionLimits,
    in_flight: Arc<()>,
    rates: Mutex<TeamRates>,
    queues: Mutex<HashMap<ServiceId, Arc<ServiceQueue>>>,
}

impl AdmissionControl {
    /// Creates an admission control without requests.
    pub fn new(limits: &AdmissionLimits) -> Self {
        Self {
            limits: *limits,
            in_flight: Arc::default(),
            rates: Mutex::default(),
            queues: Mutex::default(),
        }
    }

    /// Admits a request or refuses it immediately.
    ///
    /// The rate of a team covers all nodes; this node admits an equal share of it, by the number
    /// of `live_nodes`.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the team has exhausted its rate on this node.
    pub fn admit(&self, team: &TeamSpec, live_nodes: usize) -> Result<AdmissionPermit, Refusal> {
        let rate = RequestsPerSecond(team.rate.get() / live_nodes.max(1) as f64);
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let admitted = rates.admit(&team.id, rate, Instant::now(), &mut rand::rng());
        admitted.map_err(|retry_after_ms| {
            let team = team.id.clone();
            let refusal = Refusal::not_run(RefusalKind::RateExceeded { team, rate });
            refusal.with_retry_after(retry_after_ms)
        })?;
        Ok(AdmissionPermit::new(Arc::clone(&self.in_flight)))
    }

    /// Returns the queue of a service, creating it if necessary.
    pub fn queue(&self, service: &ServiceId) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(service.clone());
        let queue =
            queue.or_insert_with(|| Arc::new(ServiceQueue::new(service.clone(), &self.limits)));
        Arc::clone(queue)
    }

    /// Returns the number of admitted requests that are still in flight.
    pub fn in_flight(&self) -> usize {
        Arc::strong_count(&self.in_flight) - 1
    }
}
