//! Tells another node whether this one reaches an instance.

use std::time::Duration;

use cuminlb_peer::{InstanceCheck, InstanceQuery};
use cuminlb_routing::{LinkRoute, SecondOpinion};
use tokio::time::{Instant, timeout};

use crate::gateway::Gateway;
use crate::serving::{holds_seat, probe_member};

/// Time within which an instance without a group must accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

impl Gateway {
    /// Returns whether this node reaches an instance. That it does not counts against the instance only
    /// if this node reaches another one.
    pub(crate) async fn examine_instance(&self, query: &InstanceQuery) -> SecondOpinion {
        let started_at = Instant::now();
        let directory = self.knowledge.directory();
        let entry = directory.find_instance(&query.instance);
        let Some(entry) = entry else {
            return SecondOpinion::Unknown;
        };
        if self.links.route(&query.instance) != LinkRoute::Direct {
            return SecondOpinion::Unknown;
        }
        let is_reached = match &query.check {
            InstanceCheck::HoldsSeat { group, epoch } => match probe_member(self, entry).await {
                Ok(report) if holds_seat(&report, group, *epoch) => true,
                Ok(_) => return SecondOpinion::Lost,
                Err(_) => false,
            },
            InstanceCheck::Reports => probe_member(self, entry).await.is_ok(),
            InstanceCheck::Responds => self.probe_link(entry).await.is_ok(),
            InstanceCheck::Accepts => {
                match timeout(CONNECT_TIMEOUT, self.pool.connect_new(entry.address)).await {
                    Ok(Ok(connection)) => {
                        self.pool.release(connection, None);
                        true
                    }
                    Ok(Err(_)) | Err(_) => false,
                }
            }
        };
        if is_reached {
            self.record_opened(&query.instance);
            SecondOpinion::Reached
        } else if self.reaches_another(&query.instance, started_at).await {
            SecondOpinion::Lost
        } else {
            SecondOpinion::Unknown
        }
    }
}
