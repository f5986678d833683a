//! The messages between nodes.

mod config_document;
mod events_query;
mod peer_statement;
mod slot_grant;
mod slot_release;
mod slot_request;
mod table_notice;

pub use self::config_document::ConfigDocument;
pub use self::events_query::EventsQuery;
pub use self::peer_statement::PeerStatement;
pub use self::slot_grant::{SlotAnswer, SlotGrant};
pub use self::slot_release::SlotRelease;
pub use self::slot_request::SlotRequest;
pub use self::table_notice::TableNotice;
