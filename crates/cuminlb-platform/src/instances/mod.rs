//! The platform's list of live and leaving instances, which lags behind their actual state.

mod instance_list;
mod instance_listing;
mod instance_record;
mod instance_role;
mod instance_state;
mod list_revision;

pub use self::instance_list::InstanceList;
pub use self::instance_listing::InstanceListing;
pub use self::instance_record::InstanceRecord;
pub use self::instance_role::InstanceRole;
pub use self::instance_state::InstanceState;
pub use self::list_revision::ListRevision;
