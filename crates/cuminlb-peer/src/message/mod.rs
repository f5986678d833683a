//! The messages between nodes.
//!
//! The order of their fields is part of the wire format.

mod chunk_id;
mod chunk_list;
mod chunk_ref;
mod chunk_request;
mod config_document;
mod events_query;
mod group_health;
mod instance_check;
mod instance_query;
mod load_report;
mod load_scope;
mod peer_status;
mod relayed_row;
mod relayed_table;
mod relayed_update;
mod relayed_value;
mod renewal_response;
mod slot_grant;
mod slot_release;
mod slot_renewal;
mod slot_request;
mod store_contact;
mod suspicion_notice;
mod table_cursors;
mod table_notice;
mod value_chunk;

pub use self::chunk_id::ChunkId;
pub use self::chunk_list::ChunkList;
pub use self::chunk_ref::ChunkRef;
pub use self::chunk_request::ChunkRequest;
pub use self::config_document::ConfigDocument;
pub use self::events_query::EventsQuery;
pub use self::group_health::GroupHealth;
pub use self::instance_check::InstanceCheck;
pub use self::instance_query::InstanceQuery;
pub use self::load_report::LoadReport;
pub use self::load_scope::LoadScope;
pub use self::peer_status::PeerStatus;
pub use self::relayed_row::RelayedRow;
pub use self::relayed_table::RelayedTable;
pub use self::relayed_update::RelayedUpdate;
pub use self::relayed_value::RelayedValue;
pub use self::renewal_response::RenewalResponse;
pub use self::slot_grant::{SlotGrant, SlotResponse};
pub use self::slot_release::{ReleasedSlot, SlotRelease};
pub use self::slot_renewal::{RenewedGroup, SlotRenewal};
pub use self::slot_request::SlotRequest;
pub use self::store_contact::StoreContact;
pub use self::suspicion_notice::SuspicionNotice;
pub use self::table_cursors::TableCursors;
pub use self::table_notice::TableNotice;
pub use self::value_chunk::ValueChunk;
