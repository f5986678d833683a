//! [`Admission`].

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use cuminlb_config::TeamSpec;
use cuminlb_types::prelude::*;
use tokio::time::Instant;

use super::{AdmissionLimits, AdmissionPermit, ServiceQueue, TeamRates};
use crate::{Refusal, RefusalKind};

/// Lets requests in: each team up to its rate, and each service's in a fair order.
#[derive(Debug)]
pub struct Admission {
    limits: AdmissionLimits,
    inside: Arc<()>,
    rates: Mutex<TeamRates>,
    queues: Mutex<HashMap<ServiceId, Arc<ServiceQueue>>>,
}

impl Admission {
    /// Creates an admission with nobody inside.
    pub fn new(limits: &AdmissionLimits) -> Self {
        Self {
            limits: *limits,
            inside: Arc::default(),
            rates: Mutex::default(),
            queues: Mutex::default(),
        }
    }

    /// Lets a request in, or refuses it at once.
    ///
    /// The rate of a team is for all nodes; this node lets in its part of it.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when the team has used up its rate at this node.
    pub fn enter(&self, team: &TeamSpec, live_nodes: usize) -> Result<AdmissionPermit, Refusal> {
        let rate = RequestsPerSecond(team.rate.get() / live_nodes.max(1) as f64);
        let mut rates = self.rates.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = rates.take(&team.id, rate, Instant::now(), &mut rand::rng());
        taken.map_err(|retry_after_ms| {
            let team = team.id.clone();
            let refusal = Refusal::not_run(RefusalKind::RateExceeded { team, rate });
            refusal.with_retry_after(retry_after_ms)
        })?;
        Ok(AdmissionPermit::new(Arc::clone(&self.inside)))
    }

    /// Returns the queue of a service.
    pub fn queue(&self, service: &ServiceId) -> Arc<ServiceQueue> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        let queue = queues.entry(service.clone());
        let queue =
            queue.or_insert_with(|| Arc::new(ServiceQueue::new(service.clone(), &self.limits)));
        Arc::clone(queue)
    }

    /// Returns the number of requests that are inside.
    pub fn inside(&self) -> usize {
        Arc::strong_count(&self.inside) - 1
    }
}
