//! The messages between nodes.
//!
//! The order of their fields is part of the wire format.

mod config_document;
mod events_query;
mod peer_status;
mod relayed_rows;
mod renewal_response;
mod slot_grant;
mod slot_release;
mod slot_renewal;
mod slot_request;
mod suspicion_notice;
mod table_notice;

pub use self::config_document::ConfigDocument;
pub use self::events_query::EventsQuery;
pub use self::peer_status::PeerStatus;
pub use self::relayed_rows::RelayedRows;
pub use self::renewal_response::RenewalResponse;
pub use self::slot_grant::{SlotGrant, SlotResponse};
pub use self::slot_release::{ReleasedSlot, SlotRelease};
pub use self::slot_renewal::{RenewedGroup, SlotRenewal};
pub use self::slot_request::SlotRequest;
pub use self::suspicion_notice::SuspicionNotice;
pub use self::table_notice::TableNotice;
