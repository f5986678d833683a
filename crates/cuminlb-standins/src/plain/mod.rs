//! A plain service with calls that may not be repeated.

mod executing;
mod options;
mod reservation;
mod server;

pub use self::options::PlainOptions;
pub use self::reservation::Reservation;
pub use self::server::PlainService;
