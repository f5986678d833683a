//! [`Ask`].

use std::sync::Arc;

use bytes::Bytes;
use cuminlb_catalog::{RequestHead, Route, Team};
use cuminlb_types::prelude::*;
use http::request;
use tokio::time::Instant;

/// A caller's request that was admitted.
#[derive(Clone, Debug)]
pub(super) struct Ask {
    /// The head as the caller sent it.
    pub(super) parts: request::Parts,
    /// What its headers say.
    pub(super) head: RequestHead,
    /// The whole body.
    pub(super) body: Bytes,
    /// The route.
    pub(super) route: Arc<Route>,
    /// The service that the route gave.
    pub(super) service: ServiceId,
    /// The team that holds the caller's key.
    pub(super) team: Option<Team>,
    /// When the head was read.
    pub(super) came_at: Instant,
    /// When the caller must have its answer.
    pub(super) ends_at: Instant,
}

impl Ask {
    /// Returns the time that is left for the answer.
    pub(super) fn remaining_ms(&self, now: Instant) -> Millis {
        self.ends_at.saturating_duration_since(now).into()
    }

    /// Returns the rank among all requests, 0 first.
    pub(super) fn priority(&self) -> u8 {
        let of_team = self.team.as_ref().and_then(|team| team.priority);
        of_team.unwrap_or(self.route.priority)
    }

    /// Returns the time since the request came.
    pub(super) fn age_ms(&self, now: Instant) -> Millis {
        now.duration_since(self.came_at).into()
    }
}
