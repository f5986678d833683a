//! The memory for heads of requests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cuminlb_types::prelude::*;

use super::head_pool::HeadPool;
use super::head_share::HeadShare;

/// The memory that all connections of a node may hold for heads of requests: those that are still
/// incomplete, and those whose requests are in progress.
#[derive(Clone, Debug)]
pub struct HeadBudget {
    pool: Arc<Mutex<HeadPool>>,
}

impl HeadBudget {
    /// Creates a budget of `size`.
    pub fn new(size: ByteCount) -> Self {
        Self {
            pool: Arc::new(Mutex::new(HeadPool::new(size.get()))),
        }
    }

    /// Returns an empty share for one connection.
    pub fn share(&self) -> HeadShare {
        let id = self.pool().next_id();
        HeadShare::new(self.clone(), id)
    }

    pub(super) fn pool(&self) -> MutexGuard<'_, HeadPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
