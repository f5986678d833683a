//! To which request a response belongs.

use cuminlb_types::prelude::*;

/// To which request a response belongs that arrived on the connection of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseOwner {
    /// The request that waits for it.
    Request,
    /// Another request.
    Other,
    /// It cannot be told, so the response says nothing about the request.
    Unknown,
}

impl ResponseOwner {
    /// Decides to which request a response belongs: the request that waits has the id `request`, and
    /// the response names the id `named`, if any. `is_first_exchange` is set if the connection has
    /// carried no request before.
    ///
    /// A response without an id is trusted as the first one on its connection, since nothing else was
    /// asked there. On a reused connection it may be an extra response to an earlier request, and its
    /// status, a promise that the request has not run included, says nothing about this one.
    pub fn new(named: Option<&RequestId>, request: &RequestId, is_first_exchange: bool) -> Self {
        match named {
            Some(named) if named == request => Self::Request,
            Some(_) => Self::Other,
            None if is_first_exchange => Self::Request,
            None => Self::Unknown,
        }
    }
}
