//! [`Admission`].

use std::sync::Arc;

use cuminlb_types::prelude::*;
use tokio::sync::Semaphore;

use super::{AdmissionLimits, AdmissionPermit};
use crate::{Refusal, RefusalKind};

/// Lets requests in up to a bound.
#[derive(Clone, Debug)]
pub struct Admission {
    inside: Arc<Semaphore>,
}

impl Admission {
    /// Creates an admission with nobody inside.
    pub fn new(limits: &AdmissionLimits) -> Self {
        let inside = usize::try_from(limits.max_inside.get()).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            inside: Arc::new(Semaphore::new(inside.min(Semaphore::MAX_PERMITS))),
        }
    }

    /// Lets a request in, or refuses it at once.
    ///
    /// # Errors
    ///
    /// Returns a [`Refusal`] when too many requests are inside.
    pub fn enter(&self, service: &ServiceId) -> Result<AdmissionPermit, Refusal> {
        match Arc::clone(&self.inside).try_acquire_owned() {
            Ok(permit) => Ok(AdmissionPermit::new(permit)),
            Err(_) => Err(Refusal::not_run(RefusalKind::QueueFull {
                service: service.clone(),
            })),
        }
    }
}
