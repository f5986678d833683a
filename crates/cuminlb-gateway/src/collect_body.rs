//! Collects bodies within a budget of memory.

use bytes::Bytes;
use cuminlb_routing::{BodyBudget, BodyBuffer, BudgetError};
use cuminlb_types::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use smol_str::{SmolStr, ToSmolStr};

/// The reason why a body could not be collected.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum CollectError {
    /// It can't be held.
    #[error(transparent)]
    Budget(#[from] BudgetError),
    /// It ended before it was complete.
    #[error("{0}")]
    Interrupted(SmolStr),
}

/// Reads a body of at most `max_bytes` as a whole. It is held in the budget until all copies of it are
/// dropped.
///
/// # Errors
///
/// Returns an error if the body was interrupted or can't be held. The rest of it is then unread.
pub(crate) async fn collect_body(
    body: &mut Incoming,
    max_bytes: ByteCount,
    budget: &BodyBudget,
) -> Result<Bytes, CollectError> {
    let stated_len = body.size_hint().exact();
    let mut buffer = BodyBuffer::new(budget, max_bytes, stated_len)?;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CollectError::Interrupted(error.to_smolstr()))?;
        if let Some(part) = frame.data_ref() {
            buffer.push(part)?;
        }
    }
    Ok(buffer.into_bytes())
}
