//! Client of the platform: table service, object store and instance list.
//!
//! The rest of the system uses the platform only through the traits [`TableService`],
//! [`ObjectStore`] and [`InstanceList`]. The types with an `Http` prefix implement them over HTTP;
//! tables and the instance list use JSON, objects are raw bytes. [`TableClient`] wraps a table service
//! and adds what every user of the table needs: typed rows, operation ids, and retries that find
//! out whether a transaction took effect when its response was lost.

mod http;
mod instances;
mod objects;
mod platform_error;
mod table;

pub use crate::http::{HttpClient, HttpInstanceList, HttpObjectStore, HttpTableService};
pub use crate::instances::{
    InstanceList, InstanceListing, InstanceRecord, InstanceRole, InstanceState, ListRevision,
};
pub use crate::objects::ObjectStore;
pub use crate::platform_error::PlatformError;
pub use crate::table::{
    CommitOutcome, Expected, Row, RowChange, RowCheck, RowQuery, RowResponse, RowWrite, StoredRow,
    TableClient, TableError, TableService, Transaction,
};
