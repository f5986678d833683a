//! What two nodes tell each other when one forwards requests of the other to instances.
//!
//! The requests and responses themselves are passed on as HTTP; the headers here are added on the
//! connection between the two nodes only.

mod forward_header_error;
mod forward_headers;
mod forward_order;
mod forward_outcome;

pub use self::forward_header_error::ForwardHeaderError;
pub use self::forward_order::ForwardOrder;
pub use self::forward_outcome::ForwardOutcome;
