//! To which request a response belongs.

use cuminlb_types::prelude::*;

use crate::ExchangeKind;

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
    /// the response names the id `named`, if any.
    ///
    /// A response without an id is trusted as the first one on its connection, since nothing else was
    /// asked there. On a reused connection it may be an extra response to an earlier request, and its
    /// status, a promise that the request has not run included, says nothing about this one.
    ///
    /// Where an id was sent before, a response that names it may be a copy of an earlier one.
    pub fn new(named: Option<&RequestId>, request: &RequestId, exchange: ExchangeKind) -> Self {
        match named {
            Some(named) if named == request && exchange == ExchangeKind::Repeated => Self::Unknown,
            Some(named) if named == request => Self::Request,
            Some(_) => Self::Other,
            None if exchange == ExchangeKind::First => Self::Request,
            None => Self::Unknown,
        }
    }
}
