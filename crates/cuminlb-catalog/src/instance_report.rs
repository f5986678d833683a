//! The response of an instance to a probe.

use cuminlb_types::prelude::*;

use crate::Seat;

/// The state that an instance reports when it is probed.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceReport {
    /// The incarnation of its process; zero if the report does not contain it.
    pub incarnation: Incarnation,
    /// The number of orders that it has begun in this incarnation.
    pub orders: OrderSequence,
    /// Whether it states that it leaves.
    pub is_leaving: bool,
    /// Whether it is executing an order.
    pub is_busy: bool,
    /// The number of requests waiting.
    pub waiting: u32,
    /// The number of requests running.
    pub running: u32,
    /// The time that it takes, as a multiple of the normal time.
    pub slowdown: f64,
    /// The models whose weights are on its host.
    pub staged: Vec<ModelId>,
    /// Its seat in a group, if it is a member of one.
    pub seat: Option<Seat>,
}
