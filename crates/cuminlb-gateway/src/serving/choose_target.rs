//! [`choose_target`].

use cuminlb_assembly::GroupView;
use cuminlb_catalog::{InstanceEntry, UpstreamService};
use cuminlb_routing::{GroupChoice, GroupChooser};
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
    let directory = gateway.knowledge.directory();
    let catalog = gateway.knowledge.catalog()?;
    let service = catalog.services.get(&ask.service)?;
    let now = Instant::now();
    if let (Some(engine), Some(model)) = (&service.engine, &ask.head.model) {
        let groups = directory.groups.get(&ask.service)?;
        let groups = groups.iter().filter(|group| group.shape.id == *model);
        return choose_group(
            gateway,
            &directory,
            ask,
            service,
            groups,
            engine.slots,
            tried,
            now,
        );
    }
    choose_instance(gateway, &directory, ask, service, tried, now)
}

fn choose_group<'a>(
    gateway: &Gateway,
    directory: &Directory,
    ask: &Ask,
    service: &UpstreamService,
    groups: impl Iterator<Item = &'a GroupView>,
    slots: SlotCount,
    tried: &[InstanceId],
    now: Instant,
) -> Option<Target> {
    let nodes = gateway.node_count() as f64;
    let mut targets = Vec::new();
    let mut choices = Vec::new();
    let mut second_choices = Vec::new();
    for group in groups.filter(|group| group.is_serving()) {
        let head = group.head().map(|(id, _)| id)?;
        let Some(entry) = directory.instance(&ask.service, head) else {
            continue;
        };
        let member_leaves = group.present().any(|id| {
            let member = directory.instance(&ask.service, id);
            member.is_none_or(|member| member.is_leaving)
        });
        let load = gateway.loads.load(head);
        if member_leaves
            || !may_take(gateway, directory, ask, entry)
            || load.is_suspected(group.epoch, now)
            || !bears_more(gateway, directory, service, head, now)
            || tried.contains(head)
        {
            continue;
        }
        let choice = GroupChoice {
            group: group.group.clone(),
            epoch: group.epoch,
            is_near: entry.zone == gateway.settings.zone,
            load: Some(Ratio(
                f64::from(load.in_flight()) * nodes / f64::from(slots.get().max(1)),
            )),
        };
        if load.has_refused(now) {
            second_choices.push(choice);
        } else {
            choices.push(choice);
        }
        targets.push(Target {
            instance: head.clone(),
            address: entry.address,
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

fn choose_instance(
    gateway: &Gateway,
    directory: &Directory,
    ask: &Ask,
    service: &UpstreamService,
    tried: &[InstanceId],
    now: Instant,
) -> Option<Target> {
    let mut entries: Vec<&InstanceEntry> = directory
        .instances(&ask.service)
        .filter(|entry| may_take(gateway, directory, ask, entry))
        .filter(|entry| !tried.contains(&entry.id))
        .filter(|entry| bears_more(gateway, directory, service, &entry.id, now))
        .collect();
    entries.shuffle(&mut rand::rng());
    let chosen = entries.into_iter().min_by_key(|entry| {
        let load = gateway.loads.load(&entry.id);
        let is_failing = load.failing().get() >= FAILING_PART;
        let is_bad = is_failing || load.has_refused(now) || load.is_suspected(Epoch(0), now);
        let is_far = entry.zone != gateway.settings.zone;
        (is_bad, load.in_flight() + u32::from(is_far))
    })?;
    Some(Target {
        instance: chosen.id.clone(),
        address: chosen.address,
        group: None,
    })
}

/// Tells whether an instance, if it is cold, bears another request of this node: the nodes share
/// what it bears in equal parts, so that they need not ask each other.
fn bears_more(
    gateway: &Gateway,
    directory: &Directory,
    service: &UpstreamService,
    id: &InstanceId,
    now: Instant,
) -> bool {
    let rate_per_s = service.cold_rate.get();
    if rate_per_s <= 0.0 || !directory.is_cold(id, now) {
        return true;
    }
    let share = rate_per_s * COLD_PART / gateway.node_count() as f64;
    let most = share.floor().max(1.0) as usize;
    gateway.loads.load(id).sent_lately(now) < most
}

/// Tells whether an instance may be sent anything for this route at all.
fn may_take(gateway: &Gateway, directory: &Directory, ask: &Ask, entry: &InstanceEntry) -> bool {
    let regions = &ask.route.regions;
    let settings = gateway.live_settings();
    let region = settings.zones.get(&entry.zone);
    let is_home = regions.is_empty() || region.is_some_and(|region| regions.contains(region));
    let is_listed = !directory.unlisted.contains(&entry.id);
    is_listed && !entry.is_leaving && is_home && !directory.zones_out.contains(&entry.zone)
}
