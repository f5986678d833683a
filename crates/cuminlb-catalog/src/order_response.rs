//! The response of an instance to an order.

use crate::OrderOutcome;

/// The response of an instance to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderResponse {
    /// The outcome of the order.
    pub outcome: OrderOutcome,
    /// Whether the instance states that it leaves.
    pub is_leaving: bool,
}

impl From<OrderOutcome> for OrderResponse {
    /// Returns the response of an instance that does not state that it leaves.
    fn from(outcome: OrderOutcome) -> Self {
        Self {
            outcome,
            is_leaving: false,
        }
    }
}
