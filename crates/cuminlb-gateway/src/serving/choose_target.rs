//! [`choose_target`].

use std::sync::Arc;

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{EngineSpec, InstanceEntry, UpstreamService};
use cuminlb_routing::{GroupCandidate, GroupChooser};
use cuminlb_types::prelude::*;
use rand::seq::SliceRandom;
use tokio::time::Instant;

use super::ask::Ask;
use super::target::Target;
use crate::gateway::Gateway;
use crate::knowledge::Directory;

/// The part of failures from which on an instance gets only what no other can take.
const FAILING_PART: f64 = 0.5;

/// The part of what a cold instance bears that is used: it may exceed one, as the instance bears
/// more than stated for a second.
const COLD_PART: f64 = 1.2;

/// Chooses the instance that a request goes to next; `tried` are those that it has been sent to.
pub(super) fn choose_target(gateway: &Gateway, ask: &Ask, tried: &[InstanceId]) -> Option<Target> {
    let catalog = gateway.knowledge.catalog()?;
    let service = catalog.services.get(&ask.service)?;
    let choice = TargetChoice {
        gateway,
        directory: gateway.knowledge.directory(),
        ask,
        service,
        tried,
        now: Instant::now(),
    };
    match (&service.engine, &ask.head.model) {
        (Some(engine), Some(model)) => choice.group(engine, model),
        _ => choice.instance(),
    }
}

/// What the choice for one request depends on.
struct TargetChoice<'a> {
    gateway: &'a Gateway,
    directory: Arc<Directory>,
    ask: &'a Ask,
    service: &'a UpstreamService,
    tried: &'a [InstanceId],
    now: Instant,
}

impl TargetChoice<'_> {
    /// Chooses the head of a group that serves a model.
    fn group(&self, engine: &EngineSpec, model: &ModelId) -> Option<Target> {
        let groups = self.directory.groups.get(&self.service.id)?;
        let mut targets = Vec::new();
        let mut choices = Vec::new();
        let mut second_choices = Vec::new();
        for group in groups.iter().filter(|group| group.shape.id == *model) {
            let Some(head) = self.head_of(group) else {
                continue;
            };
            let load = self.gateway.loads.load(&head.id);
            // The other nodes are taken to send as much as this one.
            let in_flight = f64::from(load.in_flight()) * self.gateway.node_count() as f64;
            let choice = GroupCandidate {
                group: group.group.clone(),
                epoch: group.epoch,
                is_same_zone: head.zone == self.gateway.settings.zone,
                load: Some(Ratio(in_flight / f64::from(engine.slots.get().max(1)))),
            };
            if load.has_refused(self.now) {
                second_choices.push(choice);
            } else {
                choices.push(choice);
            }
            targets.push(Target {
                instance: head.id.clone(),
                address: head.address,
                group: Some((group.group.clone(), group.epoch)),
            });
        }
        let chooser = GroupChooser::default();
        let mut rng = rand::rng();
        let chosen = chooser
            .choose(&choices, &mut rng)
            .or_else(|| chooser.choose(&second_choices, &mut rng))?;
        let chosen = (chosen.group.clone(), chosen.epoch);
        targets
            .into_iter()
            .find(|target| target.group.as_ref() == Some(&chosen))
    }

    /// Returns the head of a group, if the request may be sent to it.
    fn head_of(&self, group: &GroupView) -> Option<&InstanceEntry> {
        let (head, _) = group.head()?;
        let entry = self.directory.instance(&self.service.id, head)?;
        let stays = |id: &InstanceId| {
            let member = self.directory.instance(&self.service.id, id);
            member.is_some_and(|member| !member.is_leaving)
        };
        let is_suspected = || {
            let load = self.gateway.loads.load(head);
            load.is_suspected(group.epoch, self.now)
        };
        let may_serve = group.is_serving() && group.present().all(stays);
        (may_serve && self.may_take(entry) && !is_suspected()).then_some(entry)
    }

    /// Chooses an instance of a service whose instances serve by themselves.
    fn instance(&self) -> Option<Target> {
        let mut entries: Vec<&InstanceEntry> = self
            .directory
            .instances(&self.service.id)
            .filter(|entry| self.may_take(entry))
            .collect();
        entries.shuffle(&mut rand::rng());
        let chosen = entries.into_iter().min_by_key(|entry| {
            let load = self.gateway.loads.load(&entry.id);
            let is_failing = load.failing().get() >= FAILING_PART;
            let is_silent = load.is_suspected(Epoch(0), self.now);
            let is_bad = is_failing || is_silent || load.has_refused(self.now);
            let is_far = entry.zone != self.gateway.settings.zone;
            (is_bad, load.in_flight() + u32::from(is_far))
        })?;
        Some(Target {
            instance: chosen.id.clone(),
            address: chosen.address,
            group: None,
        })
    }

    /// Tells whether an instance may be sent this request at all.
    fn may_take(&self, entry: &InstanceEntry) -> bool {
        let regions = &self.ask.route.regions;
        let settings = self.gateway.live_settings();
        let region = settings.zones.get(&entry.zone);
        let is_home = regions.is_empty() || region.is_some_and(|it| regions.contains(it));
        let is_listed = !self.directory.unlisted.contains(&entry.id);
        is_listed
            && is_home
            && !entry.is_leaving
            && !self.directory.zones_out.contains(&entry.zone)
            && !self.tried.contains(&entry.id)
            && self.bears_more(&entry.id)
    }

    /// Tells whether an instance, if it is cold, bears another request of this node: the nodes
    /// share what it bears in equal parts, so that they need not ask each other.
    fn bears_more(&self, id: &InstanceId) -> bool {
        let rate_per_s = self.service.cold_rate.get();
        if rate_per_s <= 0.0 || !self.directory.is_cold(id, self.now) {
            return true;
        }
        let share = rate_per_s * COLD_PART / self.gateway.node_count() as f64;
        let most = share.floor().max(1.0) as usize;
        self.gateway.loads.load(id).sent_lately(self.now) < most
    }
}
