//! Collects a body within a budget.

use bytes::Bytes;
use cuminlb_types::prelude::*;

use super::body_budget::BodyBudget;
use super::budget_error::BudgetError;
use super::budget_share::BudgetShare;

/// Collects the parts of a body within a budget.
#[derive(Debug)]
pub struct BodyBuffer {
    bytes: Vec<u8>,
    max_bytes: ByteCount,
    share: BudgetShare,
}

/// The bytes of a body, with what they hold of the budget.
#[derive(Debug)]
struct HeldBytes {
    bytes: Vec<u8>,
    _share: BudgetShare,
}

impl BodyBuffer {
    /// Creates the buffer of a body of at most `max_bytes`. If its length is stated, the memory for it
    /// is taken at once, so that a body that is begun can be read to its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or the budget has too little left.
    pub fn new(
        budget: &BodyBudget,
        max_bytes: ByteCount,
        stated_len: Option<u64>,
    ) -> Result<Self, BudgetError> {
        let mut buffer = Self {
            bytes: Vec::new(),
            max_bytes,
            share: budget.share(),
        };
        if let Some(len) = stated_len {
            buffer.check_len(len)?;
            buffer.reserve(usize::try_from(len).unwrap_or(usize::MAX))?;
        }
        Ok(buffer)
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns an error if the body is too long or the budget has too little left.
    pub fn push(&mut self, part: &[u8]) -> Result<(), BudgetError> {
        let len = self.bytes.len() + part.len();
        self.check_len(len as u64)?;
        if len > self.bytes.capacity() {
            let max_len = usize::try_from(self.max_bytes.get()).unwrap_or(usize::MAX);
            self.reserve(len.max(self.bytes.capacity() * 2).min(max_len))?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the body. It is held in the budget until all copies of it are dropped.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        // Less than before is always granted.
        let _ = self.share.resize(self.bytes.capacity());
        Bytes::from_owner(HeldBytes {
            bytes: self.bytes,
            _share: self.share,
        })
    }

    fn check_len(&self, len: u64) -> Result<(), BudgetError> {
        let max_bytes = self.max_bytes;
        if len > max_bytes.get() {
            return Err(BudgetError::TooLong { max_bytes });
        }
        Ok(())
    }

    /// Makes room for a body of `len`.
    fn reserve(&mut self, len: usize) -> Result<(), BudgetError> {
        self.share.resize(len)?;
        self.bytes.reserve_exact(len - self.bytes.len());
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
