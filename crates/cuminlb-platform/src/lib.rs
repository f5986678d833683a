//! The edge towards the platform: table service, object store and instance list.
//!
//! The traits [`TableService`], [`ObjectStore`] and [`InstanceList`] are what the rest of the
//! system knows of the platform. The types of this crate with an `Http` prefix speak to it over
//! HTTP with JSON bodies. [`Table`] adds what every caller of the table needs: typed rows,
//! operation ids and the resolution of lost answers.

mod http;
mod instances;
mod objects;
mod platform_error;
mod table;

pub use crate::http::{HttpCaller, HttpInstanceList, HttpObjectStore, HttpTable};
pub use crate::instances::{
    InstanceList, InstanceListing, InstanceRecord, InstanceRole, InstanceState, ListRevision,
};
pub use crate::objects::ObjectStore;
pub use crate::platform_error::PlatformError;
pub use crate::table::{
    CommitOutcome, Expected, Row, RowAnswer, RowChange, RowCheck, RowQuery, RowWrite, StoredRow,
    Table, TableError, TableService, Transaction,
};
