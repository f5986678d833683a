//! The reason why the head of a request can't be held.

/// The budget has too little left, and the incomplete heads that are at least as large hold too little; or
/// the connection was evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(thiserror::Error)]
#[error("the heads of requests hold too much memory")]
pub struct HeadsHeld;
