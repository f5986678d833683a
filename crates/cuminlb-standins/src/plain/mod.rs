//! The stand-in for a plain service with calls that are not idempotent.

mod options;
mod reservation;
mod running_call;
mod server;

pub use self::options::PlainOptions;
pub use self::reservation::Reservation;
pub use self::server::PlainService;
