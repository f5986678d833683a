//! What a request is to the connection that carries it.

/// What a request is to the connection that carries it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ExchangeKind {
    /// The first request on the connection.
    #[default]
    First,
    /// A later request, whose id was not sent on the connection before.
    Later,
    /// A request whose id may have been sent on the connection before.
    Repeated,
}
