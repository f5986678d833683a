//! HTTP connections to instances.

mod connection;
mod connection_pool;
mod send_failure;

pub(crate) use self::connection::Connection;
pub(crate) use self::connection_pool::ConnectionPool;
pub(crate) use self::send_failure::SendFailure;
