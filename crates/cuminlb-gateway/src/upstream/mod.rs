//! HTTP connections to instances.

mod connection;
mod connection_deadline;
mod connection_pool;
mod fair_stream;
mod send_failure;

pub(crate) use self::connection::Connection;
pub(crate) use self::connection_deadline::ConnectionDeadline;
pub(crate) use self::connection_pool::ConnectionPool;
pub(crate) use self::send_failure::SendFailure;
