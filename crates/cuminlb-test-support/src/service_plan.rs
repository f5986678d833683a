//! [`ModelPlan`] and [`PlainPlan`].

use cuminlb_standins::{EngineOptions, PlainOptions};
use cuminlb_types::prelude::*;

/// One model service of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelPlan {
    /// The name of the service and of its model.
    pub name: String,
    /// The number of groups.
    pub replicas: u32,
    /// The members of each group.
    pub members: u32,
    /// The instances beyond those of the groups.
    pub spares: u32,
    /// The slots of a warm group.
    pub warm_slots: SlotCount,
    /// The slots of a cold group.
    pub cold_slots: SlotCount,
    /// Whether the engines can resume a stream.
    pub resumable: bool,
    /// How the engines behave.
    pub engine: EngineOptions,
}

impl ModelPlan {
    /// Plans a service with default engines.
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

    /// Adds spare instances.
    #[must_use]
    pub const fn spares(mut self, spares: u32) -> Self {
        self.spares = spares;
        self
    }

    /// Sets how the engines behave; their limits become the slots of the groups.
    #[must_use]
    pub const fn engine(mut self, engine: EngineOptions) -> Self {
        self.warm_slots = engine.warm_limit;
        self.cold_slots = engine.cold_limit;
        self.engine = engine;
        self
    }
}

/// One plain service of a site.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlainPlan {
    /// The name of the service; its path prefix is `/NAME`.
    pub name: String,
    /// The number of workers.
    pub workers: u32,
    /// How the workers behave.
    pub options: PlainOptions,
}

impl PlainPlan {
    /// Plans a service with default workers.
    pub fn new(name: &str, workers: u32) -> Self {
        Self {
            name: name.to_owned(),
            workers,
            options: PlainOptions::default(),
        }
    }
}
