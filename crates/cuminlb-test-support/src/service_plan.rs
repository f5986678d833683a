//! The model services and plain services that a test site runs.

use cuminlb_standins::{EngineOptions, PlainOptions};
use cuminlb_types::prelude::*;

/// The configuration of one model service of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The service id, which is also the name of its model.
    pub name: String,
    /// The number of groups.
    pub replicas: u32,
    /// The number of members in each group.
    pub members: u32,
    /// The number of spare instances.
    pub spares: u32,
    /// The number of slots of a warm group.
    pub warm_slots: SlotCount,
    /// The number of slots of a cold group.
    pub cold_slots: SlotCount,
    /// Whether the fleet file declares streams of the service resumable.
    pub resumable: bool,
    /// The options of the engines.
    pub engine: EngineOptions,
}

impl ModelPlan {
    /// Creates a service with default engine options and no spares.
    pub fn new(name: &str, replicas: u32, members: u32) -> Self {
        let engine = EngineOptions::default();
        Self {
            name: name.to_owned(),
            replicas,
            members,
            spares: 0,
            warm_slots: engine.warm_limit,
            cold_slots: engine.cold_limit,
            resumable: false,
            engine,
        }
    }

    /// Sets the number of spare instances.
    #[must_use]
    pub const fn spares(mut self, spares: u32) -> Self {
        self.spares = spares;
        self
    }

    /// Sets the options of the engines, whose limits become the slot counts of the groups.
    #[must_use]
    pub const fn engine(mut self, engine: EngineOptions) -> Self {
        self.warm_slots = engine.warm_limit;
        self.cold_slots = engine.cold_limit;
        self.engine = engine;
        self
    }
}

/// The configuration of one plain service of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainPlan {
    /// The service id; the path prefix is `/NAME`.
    pub name: String,
    /// The number of workers.
    pub workers: u32,
    /// The options of the workers.
    pub options: PlainOptions,
}

impl PlainPlan {
    /// Creates a service with default worker options.
    pub fn new(name: &str, workers: u32) -> Self {
        Self {
            name: name.to_owned(),
            workers,
            options: PlainOptions::default(),
        }
    }
}
