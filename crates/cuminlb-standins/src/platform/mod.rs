//! The stand-in for the platform: table, object store and instance list.

mod lagging_list;
mod options;
mod rows;
mod server;

pub use self::options::PlatformOptions;
pub use self::server::Platform;
