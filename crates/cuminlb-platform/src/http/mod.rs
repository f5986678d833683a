//! Implementations of the platform's interfaces over HTTP.

mod http_caller;
mod http_instance_list;
mod http_object_store;
mod http_table;

pub use self::http_caller::HttpCaller;
pub use self::http_instance_list::HttpInstanceList;
pub use self::http_object_store::HttpObjectStore;
pub use self::http_table::HttpTable;
