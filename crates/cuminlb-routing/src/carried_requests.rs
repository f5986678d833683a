//! The requests that one connection has carried.

use cuminlb_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use crate::{ExchangeKind, ResponseOwner};

/// The number of requests after which a connection is not used again, which bounds what is held of
/// them.
pub const MAX_CARRIED_REQUESTS: usize = 512;

/// The requests that one connection has carried.
///
/// A late copy of a response bears the id of its request. It is told from the response to a request
/// that is under way only as long as no connection carries the same id twice.
#[derive(Clone, Debug, Default)]
pub struct CarriedRequests {
    /// Hashes of the ids. Equal hashes of two ids cost a connection, and nothing else.
    hashes: Vec<u64>,
    /// What the latest request is to the connection.
    latest: ExchangeKind,
}

impl CarriedRequests {
    /// Returns whether the connection may carry a request.
    pub fn may_carry(&self, request: &RequestId) -> bool {
        self.has_room() && !self.has_carried(request)
    }

    /// Returns whether the connection may carry any more requests.
    pub const fn has_room(&self) -> bool {
        self.hashes.len() < MAX_CARRIED_REQUESTS
    }

    /// Returns the number of requests so far.
    pub const fn count(&self) -> usize {
        self.hashes.len()
    }

    /// Records that a request is sent.
    pub fn record(&mut self, request: &RequestId) {
        if !self.may_carry(request) {
            self.latest = ExchangeKind::Repeated;
            return;
        }
        self.latest = if self.hashes.is_empty() {
            ExchangeKind::First
        } else {
            ExchangeKind::Later
        };
        self.hashes.push(hash(request));
    }

    /// Returns to which request a response belongs that follows `request`, the latest one, and names
    /// the id `named`, if any.
    pub fn owner(&self, named: Option<&RequestId>, request: &RequestId) -> ResponseOwner {
        ResponseOwner::new(named, request, self.latest)
    }

    fn has_carried(&self, request: &RequestId) -> bool {
        self.hashes.contains(&hash(request))
    }
}

fn hash(request: &RequestId) -> u64 {
    xxh3_64(request.as_str().as_bytes())
}
