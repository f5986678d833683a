//! A caller's request after admission, as the rest of the module passes it on.

use std::sync::Arc;

use bytes::Bytes;
use cuminlb_catalog::{RequestHead, Route, Team};
use cuminlb_routing::{CrashCause, LoadKey};
use cuminlb_types::prelude::*;
use http::request;
use tokio::time::Instant;

use super::request_deadline::RequestDeadline;
use crate::gateway::Gateway;

/// Fraction of the target latency for which a request may wait for an instance.
const USEFUL_WAIT_FRACTION: f64 = 0.8;

/// A caller's request that was admitted.
#[derive(Clone, Debug)]
pub(super) struct AdmittedRequest {
    /// The request head as the caller sent it.
    pub(super) parts: request::Parts,
    /// The values read from its headers.
    pub(super) head: RequestHead,
    /// The complete body.
    pub(super) body: Bytes,
    /// The route.
    pub(super) route: Arc<Route>,
    /// The service chosen by the route.
    pub(super) service: ServiceId,
    /// The team that owns the caller's key.
    pub(super) team: Option<Team>,
    /// What the request contains that could crash an instance.
    pub(super) crash_causes: Vec<CrashCause>,
    /// Whether the request is let through although it contains a quarantined cause.
    pub(super) is_probe: bool,
    /// When the request head was received.
    pub(super) received_at: Instant,
    /// When the caller must have its response.
    pub(super) deadline: RequestDeadline,
}

impl AdmittedRequest {
    /// Returns until when the request may wait for an instance and still be answered, or begin to
    /// be, within the target latency.
    pub(super) fn useful_wait_until(&self) -> Instant {
        let target_latency = self.route.target_latency_ms.duration();
        let until = self.received_at + target_latency.mul_f64(USEFUL_WAIT_FRACTION);
        until.min(self.deadline.latest_start())
    }

    /// Returns the time that remains until the deadline.
    pub(super) fn remaining_ms(&self, now: Instant) -> Millis {
        let deadline = self.deadline.latest();
        deadline.saturating_duration_since(now).into()
    }

    /// Returns the priority of the request; 0 is the highest. The priority of the team overrides
    /// that of the route.
    pub(super) fn priority(&self) -> u8 {
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        team_priority.unwrap_or(self.route.priority)
    }

    /// Returns the key by which the request counts for its team, if the use of slots by teams matters.
    pub(super) fn load_key(&self, gateway: &Gateway) -> Option<LoadKey> {
        if !gateway.live_settings().load.has_admission {
            return None;
        }
        Some(LoadKey::Team {
            service: self.service.clone(),
            model: self.head.model.clone()?,
            team: self.team.as_ref()?.id.clone(),
        })
    }

    /// Returns the time since the request was received.
    pub(super) fn age_ms(&self, now: Instant) -> Millis {
        now.duration_since(self.received_at).into()
    }
}
