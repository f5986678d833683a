//! [`InstanceReport`].

use cuminlb_types::prelude::*;

use crate::Seat;

/// What an instance answers when it is asked how it is.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceReport {
    /// The start of its process; zero where it does not say.
    pub life: Incarnation,
    /// The orders that it has begun in this life.
    pub orders: OrderSequence,
    /// Whether an order is under way.
    pub is_busy: bool,
    /// The requests that wait.
    pub waiting: u32,
    /// The requests that run.
    pub running: u32,
    /// How many times slower than normal it is.
    pub slowdown: f64,
    /// The models whose weights its host holds.
    pub staged: Vec<ModelId>,
    /// Its place in a group.
    pub seat: Option<Seat>,
}
