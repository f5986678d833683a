//! The outcome of an order to an instance.

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The instance has begun to execute it.
    Begun,
    /// The instance is already in the requested state.
    Done,
    /// The order conflicts with the state of the instance.
    Conflict,
    /// The instance has seen a newer epoch or fencing number.
    Outdated,
    /// The address belongs to another instance.
    OtherInstance,
    /// The instance cannot execute this kind of order.
    Refused {
        /// The status code.
        status: u16,
    },
    /// The instance could not be reached; the order has had no effect.
    Unreachable,
    /// No response arrived; the order may be executed now or much later.
    Unknown,
}

impl OrderOutcome {
    /// Returns whether the order is in effect or being executed.
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }
}
