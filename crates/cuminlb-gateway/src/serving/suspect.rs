//! What a node does when the head of a group falls silent.

use std::sync::Arc;

use cuminlb_peer::SuspicionNotice;
use cuminlb_types::prelude::*;
use log::{info, warn};
use tokio::time::Instant;

use super::ask::Ask;
use super::check_group::check_group;
use super::group_standing::GroupStanding;
use super::target::Target;
use crate::gateway::Gateway;
use crate::leading::leader_in;

impl Gateway {
    /// Sends nothing more to a head from which nothing has come for a request since `heard_at`,
    /// until the members of its group have said how they are; tells the leader what is amiss.
    pub(super) fn suspect(self: &Arc<Self>, ask: &Ask, target: &Target, heard_at: Instant) {
        let Some((group, epoch)) = target.group.clone() else {
            return;
        };
        let now = Instant::now();
        let load = self.loads.load(&target.instance);
        if !load.suspect(epoch, now) {
            return;
        }
        self.metrics.suspicions.inc();
        let silent_ms = Millis::from(now.duration_since(heard_at));
        let notice = SuspicionNotice {
            node: self.settings.id.clone(),
            head: target.instance.clone(),
            group,
            epoch,
            silent_ms,
        };
        info!(
            request:% = ask.head.id, instance:% = notice.head, group:% = notice.group,
            epoch:% = epoch, silent_ms = silent_ms.get();
            "head suspected"
        );
        let gateway = Arc::clone(self);
        self.errands.spawn(async move {
            let standing = check_group(&gateway, &notice.group, epoch).await;
            info!(
                instance:% = notice.head, group:% = notice.group, epoch:% = epoch,
                standing:? = standing;
                "silent head checked"
            );
            load.note_standing(epoch, standing, Instant::now());
            if standing != GroupStanding::Intact {
                gateway.tell_leader(notice).await;
            }
        });
    }

    async fn tell_leader(&self, notice: SuspicionNotice) {
        let Some(leader) = leader_in(&self.knowledge) else {
            warn!(instance:% = notice.head; "there is no leader to tell");
            return;
        };
        if leader == self.settings.id {
            self.suspicions.raise(notice);
            return;
        }
        let directory = self.knowledge.directory();
        let Some(link) = self.peers.link(&directory, &leader) else {
            warn!(node:% = leader; "the leader is not listed");
            return;
        };
        if let Err(error) = link.suspect(notice).await {
            warn!(node:% = leader; "the leader was not told: {error}");
        }
    }
}
