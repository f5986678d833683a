//! Records group heads that this node or another one has found lost.

use cuminlb_peer::GroupHealth;
use cuminlb_routing::{InFlightCount, LossSource, LostHead};
use cuminlb_types::prelude::*;
use log::info;
use tokio::time::Instant;

use crate::gateway::Gateway;

impl Gateway {
    /// Stops sending new requests to the head of a group that this node has found unable to continue,
    /// and tells other nodes with the next exchange of load.
    pub(super) fn record_found_loss(
        &self,
        instance: &InstanceId,
        epoch: Epoch,
        health: GroupHealth,
    ) {
        let now = Instant::now();
        let load = self.loads.load(instance);
        load.record_group_health(epoch, health, now);
        let head = LostHead {
            instance: instance.clone(),
            epoch,
        };
        self.lost_heads.record_found(head, now);
        self.loss_found.notify_one();
    }

    /// Records that a check which this node has asked for has found a head lost, so that later reports of the
    /// same loss do not extend the time for which the head is avoided.
    pub(super) fn record_known_loss(&self, instance: &InstanceId, epoch: Epoch, now: Instant) {
        let head = LostHead {
            instance: instance.clone(),
            epoch,
        };
        let heads = vec![head];
        self.lost_heads
            .record_told(heads, LossSource::OwnRelay, now);
    }

    /// Removes the lost heads from a load report of another node, and stops sending new requests to
    /// those that this node did not know to be lost.
    pub(crate) fn take_reported_losses(&self, counts: &mut Vec<InFlightCount>, source: LossSource) {
        let told = LostHead::take_from(counts);
        let now = Instant::now();
        for head in self.lost_heads.record_told(told, source, now) {
            self.avoid_lost_head(&head, source, now);
        }
    }

    /// Stops sending new requests to a head that another node has found lost, unless it is unknown here
    /// or has headed a newer group since.
    fn avoid_lost_head(&self, head: &LostHead, source: LossSource, now: Instant) {
        let directory = self.knowledge.directory();
        let mut groups = directory.groups.values().flatten();
        let has_newer_group = groups.any(|group| {
            let is_head = group.head().is_some_and(|(id, _)| *id == head.instance);
            is_head && group.epoch > head.epoch
        });
        let is_avoided = !has_newer_group && directory.find_instance(&head.instance).is_some();
        info!(
            instance:% = head.instance, epoch:% = head.epoch, source:? = source,
            is_avoided = is_avoided;
            "head reported lost"
        );
        if is_avoided {
            self.metrics.heads_reported_lost.inc();
            let load = self.loads.load(&head.instance);
            load.record_group_health(head.epoch, GroupHealth::HeadLost, now);
        }
    }
}
