//! How much a connection may read at once of a body.

use cuminlb_routing::BudgetShare;

/// How much is read at once of a body. The reader doubles its buffer whenever a read has filled it.
const MAX_READ_BYTES: usize = 64 << 10;

/// How much of a body a connection may read at once without a share of the budget.
const FREE_READ_BYTES: usize = 8 << 10;

/// How much is read at once while no body is expected: a part of the next request.
const NEXT_REQUEST_READ_BYTES: usize = 4 << 10;

/// How large a buffer becomes in relation to the reads that have filled it.
const BUFFER_FACTOR: usize = 2;

/// The read buffer of a connection, which grows for long bodies and stays large until the connection
/// ends. What it may hold is taken from a budget; when that is used up, bodies are read in small parts.
#[derive(Debug)]
pub(super) struct ReadBuffer {
    share: BudgetShare,
    max_read_bytes: usize,
}

impl ReadBuffer {
    pub(super) const fn new(share: BudgetShare) -> Self {
        Self {
            share,
            max_read_bytes: FREE_READ_BYTES,
        }
    }

    /// Returns how much may be read at once into a buffer with room for `remaining_bytes`, while a
    /// request is in progress.
    pub(super) fn room(&mut self, remaining_bytes: usize, has_body: bool) -> usize {
        if !has_body {
            return NEXT_REQUEST_READ_BYTES;
        }
        let wanted_bytes = remaining_bytes.min(MAX_READ_BYTES);
        if wanted_bytes > self.max_read_bytes
            && self.share.resize(wanted_bytes * BUFFER_FACTOR).is_ok()
        {
            self.max_read_bytes = wanted_bytes;
        }
        self.max_read_bytes
    }
}
