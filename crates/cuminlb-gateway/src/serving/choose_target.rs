//! Load balancing: chooses the instance for the next attempt of a request.

use std::sync::Arc;

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{InstanceEntry, UpstreamService};
use cuminlb_routing::{
    Availability, InstanceReadiness, LimitPlace, NodeRank, OpenAttempts, RequestClass,
    Unavailability, cold_allowance,
};
use cuminlb_types::prelude::*;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use super::admitted_request::AdmittedRequest;
use super::instance_load::InstanceLoad;
use super::target::Target;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// Failure rate from which on an instance is chosen only if no other is eligible.
const FAILURE_RATE_THRESHOLD: f64 = 0.5;

/// Multiplier of the rate limit of a cold instance. It may exceed 1, because an instance withstands
/// more than its stated rate for a second.
const COLD_RATE_FACTOR: f64 = 1.2;

/// Chooses the instance for the next attempt of a request like [`select_target`]; `None` if no
/// instance can take the request now.
pub(super) fn choose_target(
    gateway: &Gateway,
    request: &AdmittedRequest,
    attempts: &OpenAttempts,
) -> Option<Target> {
    select_target(gateway, request, attempts).ok()
}

/// Chooses the instance for the next attempt of a request after `attempts`.
///
/// # Errors
///
/// Returns [`Unavailability`] if no instance can take the request now.
pub(super) fn select_target(
    gateway: &Gateway,
    request: &AdmittedRequest,
    attempts: &OpenAttempts,
) -> Result<Target, Unavailability> {
    let catalog = gateway.knowledge.catalog();
    let service = catalog
        .as_ref()
        .and_then(|catalog| catalog.services.get(&request.service));
    let Some(service) = service else {
        return Err(Unavailability::default());
    };
    let mut unavailability = Unavailability::default();
    let selector = TargetSelector {
        gateway,
        directory: gateway.knowledge.directory(),
        request,
        service,
        attempts,
        now: Instant::now(),
    };
    let target = match (&service.engine, &request.head.model) {
        (Some(engine), Some(model)) => selector.choose_group(engine, model, &mut unavailability),
        _ => selector.choose_instance(&mut unavailability),
    };
    target.ok_or(unavailability)
}

/// The inputs of one choice.
pub(super) struct TargetSelector<'a> {
    pub(super) gateway: &'a Gateway,
    pub(super) directory: Arc<Directory>,
    pub(super) request: &'a AdmittedRequest,
    pub(super) service: &'a UpstreamService,
    pub(super) attempts: &'a OpenAttempts,
    pub(super) now: Instant,
}

impl TargetSelector<'_> {
    /// Returns the head of a group if the request may be sent to it now.
    pub(super) fn available_head(
        &self,
        group: &GroupView,
        unavailability: &mut Unavailability,
    ) -> Option<&InstanceEntry> {
        let (head, _) = group.head()?;
        let entry = self.directory.instance(&self.service.id, head)?;
        let is_staying = |id: &InstanceId| {
            let member = self.directory.instance(&self.service.id, id);
            member.is_some_and(|member| !member.is_leaving)
        };
        let is_suspected = || {
            let load = self.gateway.loads.load(head);
            load.is_suspected(group.epoch, self.now)
        };
        let may_serve = group.is_serving() && group.present().all(is_staying);
        let is_available = may_serve && !is_suspected() && self.is_available(entry, unavailability);
        is_available.then_some(entry)
    }

    /// Chooses an instance of a service whose instances serve without groups.
    fn choose_instance(&self, unavailability: &mut Unavailability) -> Option<Target> {
        let mut entries: Vec<&InstanceEntry> = self
            .directory
            .instances(&self.service.id)
            .filter(|entry| self.is_available(entry, unavailability))
            .collect();
        entries.shuffle(&mut rand::rng());
        let chosen = entries.into_iter().min_by_key(|entry| {
            let load = self.gateway.loads.load(&entry.id);
            let has_high_failure_rate = load.failure_rate().get() >= FAILURE_RATE_THRESHOLD;
            let is_silent = load.is_suspected(Epoch(0), self.now);
            let is_unhealthy =
                has_high_failure_rate || is_silent || load.has_recent_refusal(self.now);
            let is_other_zone = entry.zone != self.gateway.settings.zone;
            (is_unhealthy, load.in_flight() + u32::from(is_other_zone))
        })?;
        Some(Target {
            instance: chosen.id.clone(),
            incarnation: chosen.incarnation,
            address: chosen.address,
            group: None,
            class: RequestClass::Unclassified,
        })
    }

    /// Returns whether an instance may receive this request now. If it could serve the request but is
    /// not available, this is added to `unavailability`.
    fn is_available(&self, entry: &InstanceEntry, unavailability: &mut Unavailability) -> bool {
        if !self.is_eligible(entry) {
            return false;
        }
        let is_tried = !self.attempts.may_run_on(&entry.id);
        let availability = self.readiness(entry).availability();
        unavailability.add(availability, is_tried);
        availability == Availability::Now && !is_tried
    }

    /// Returns what an instance states about the requests that it takes from this node.
    fn readiness(&self, entry: &InstanceEntry) -> InstanceReadiness {
        InstanceReadiness {
            is_leaving: entry.is_leaving,
            retry_at: self.gateway.retry_times.until(&entry.id, self.now),
            has_cold_capacity: self.has_cold_capacity(&entry.id),
            limit_place: self.limit_place(entry),
        }
    }

    /// Returns whether an instance may receive this request at all.
    fn is_eligible(&self, entry: &InstanceEntry) -> bool {
        let regions = &self.request.route.regions;
        let settings = self.gateway.live_settings();
        let region = settings.zones.get(&entry.zone);
        let is_in_allowed_region =
            regions.is_empty() || region.is_some_and(|it| regions.contains(it));
        self.directory.is_listed(&entry.id, self.now)
            && is_in_allowed_region
            && !self.directory.zones_out.contains(&entry.zone)
    }

    /// Returns whether an instance that is cold has capacity for another request of this node. The
    /// nodes divide its rate limit, so that they need not coordinate.
    fn has_cold_capacity(&self, id: &InstanceId) -> bool {
        let rate_per_s = self.service.cold_rate.get();
        if rate_per_s <= 0.0 || !self.directory.is_cold(id, self.now) {
            return true;
        }
        let load = self.gateway.loads.load(id);
        let rank = self.node_rank(id, &load);
        let limit = RequestsPerSecond(rate_per_s * COLD_RATE_FACTOR);
        let max_per_window = cold_allowance(limit, rank.nodes, rank.position);
        load.recent_send_count(self.now) < max_per_window
    }

    /// Returns whether the rate limit that an instance states leaves a place for a request of this node.
    fn limit_place(&self, entry: &InstanceEntry) -> LimitPlace {
        let load = self.gateway.loads.load(&entry.id);
        if !load.is_limited() {
            return LimitPlace::Free;
        }
        let rank = self.node_rank(&entry.id, &load);
        load.limit_place(entry.incarnation, rank, self.now)
    }

    /// Returns the rank of this node in the order of all nodes that is specific to an instance.
    fn node_rank(&self, id: &InstanceId, load: &InstanceLoad) -> NodeRank {
        load.node_rank(id, &self.gateway.settings.id, &self.directory.nodes)
    }
}
