//! What becomes of an order on its way.

/// The delivery outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    Delivered,
    ResponseLost,
    Lost,
    /// Carried out after this number of steps, without a response.
    Delayed(u8),
}
