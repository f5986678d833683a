//! A `[[model_service]]` or `[[plain_service]]` of the fleet file.

use cuminlb_types::prelude::*;

use super::{FencingSupport, ModelSpec, PlainSpec, ServiceKind};
use crate::check::{Bounds, TableReader};

/// A model service or a plain service, and the desired number and size of its groups.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceSpec {
    /// The id of the service; the entries of instances in the platform's list contain it too.
    pub id: ServiceId,
    /// The desired number of groups.
    pub replicas: ReplicaCount,
    /// The number of member instances of each group.
    pub members_per_replica: MemberCount,
    /// The number of requests that a warm group may run concurrently.
    pub warm_slots: SlotCount,
    /// The number of requests that a group may run concurrently during its cold start.
    pub cold_slots: SlotCount,
    /// What the upstreams do with outdated fencing numbers.
    pub fencing: FencingSupport,
    /// The kind of the service, with the settings that are specific to it.
    pub kind: ServiceKind,
}

impl ServiceSpec {
    /// Returns the number of requests that a group may run concurrently.
    pub fn slots(&self, is_warm: bool) -> SlotCount {
        if is_warm {
            self.warm_slots
        } else {
            self.cold_slots
        }
    }

    /// Returns whether a call may safely run more than once.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        match &self.kind {
            ServiceKind::Model(_) => true,
            ServiceKind::Plain(plain) => !plain
                .non_idempotent
                .iter()
                .any(|pattern| pattern.matches(method, path)),
        }
    }

    pub(crate) fn read_model(reader: &mut TableReader<'_>) -> Option<Self> {
        let members_per_replica = reader.bounded(
            "members_per_replica",
            MemberCount(1),
            Bounds {
                min: MemberCount(1),
                max: MemberCount(256),
            },
        );
        let model = ModelSpec::read(reader);
        Self::read(reader, members_per_replica, model.map(ServiceKind::Model))
    }

    pub(crate) fn read_plain(reader: &mut TableReader<'_>) -> Option<Self> {
        let plain = PlainSpec::read(reader);
        Self::read(reader, MemberCount(1), plain.map(ServiceKind::Plain))
    }

    fn read(
        reader: &mut TableReader<'_>,
        members_per_replica: MemberCount,
        kind: Option<ServiceKind>,
    ) -> Option<Self> {
        let id = reader.required("id", "name the service");
        let replicas = reader.bounded(
            "replicas",
            ReplicaCount(1),
            Bounds {
                min: ReplicaCount(0),
                max: ReplicaCount(4_096),
            },
        );
        let slot_bounds = Bounds {
            min: SlotCount(1),
            max: SlotCount(65_536),
        };
        let warm_slots = reader.bounded("warm_slots", SlotCount(16), slot_bounds);
        let cold_slots = reader.bounded("cold_slots", SlotCount(1), slot_bounds);
        if cold_slots > warm_slots {
            reader.reject("cold_slots", cold_slots, "must not be above warm_slots");
        }
        let fencing = reader
            .optional("fencing")
            .unwrap_or(FencingSupport::Ignored);
        Some(Self {
            id: id?,
            replicas,
            members_per_replica,
            warm_slots,
            cold_slots,
            fencing,
            kind: kind?,
        })
    }
}
