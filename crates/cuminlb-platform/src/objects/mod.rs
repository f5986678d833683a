//! The platform's object store.

mod object_store;

pub use self::object_store::ObjectStore;
