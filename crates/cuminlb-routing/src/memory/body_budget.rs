//! The memory for one kind of body.

use std::sync::Arc;

use cuminlb_types::prelude::*;

use super::budget_share::BudgetShare;
use super::memory_pool::MemoryPool;

/// The memory that a node may hold for one kind of body, or the part of it for one source of bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    pub(super) whole: Arc<MemoryPool>,
    /// The part of one source, unless this is the whole.
    pub(super) part: Option<Arc<MemoryPool>>,
}

impl BodyBudget {
    /// Creates a budget of `size`.
    pub fn new(size: ByteCount) -> Self {
        Self {
            whole: Arc::new(MemoryPool::new(size.get())),
            part: None,
        }
    }

    /// Returns the budget of one source, which may hold `size` of the whole. What it holds counts in
    /// both.
    pub fn part(&self, size: ByteCount) -> Self {
        Self {
            whole: Arc::clone(&self.whole),
            part: Some(Arc::new(MemoryPool::new(size.get()))),
        }
    }

    /// Returns an empty share.
    pub fn share(&self) -> BudgetShare {
        BudgetShare::new(self.clone())
    }
}
