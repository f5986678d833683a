//! Implementations of the platform's interfaces over HTTP.

mod http_client;
mod http_instance_list;
mod http_object_store;
mod http_table_service;

pub use self::http_client::HttpClient;
pub use self::http_instance_list::HttpInstanceList;
pub use self::http_object_store::HttpObjectStore;
pub use self::http_table_service::HttpTableService;
