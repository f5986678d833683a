//! [`OrderOutcome`].

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The instance has begun to carry it out.
    Begun,
    /// The state that it asks for holds already.
    Done,
    /// The order does not fit the state of the instance.
    Conflict,
    /// A newer epoch or fencing number has been seen.
    Outdated,
    /// Another instance has the address.
    OtherInstance,
    /// The instance can't carry out such an order.
    Refused {
        /// The status code.
        status: u16,
    },
    /// The instance could not be reached; the order has had no effect.
    Unreachable,
    /// No answer came; the order may be carried out now or much later.
    Unknown,
}

impl OrderOutcome {
    /// Tells whether the order holds or is being carried out.
    pub const fn is_accepted(self) -> bool {
        matches!(self, Self::Begun | Self::Done)
    }
}
