//! The control protocol of an engine: orders to it and the reports that it returns.

mod engine_control;
mod engine_order;
mod engine_report;
mod group_member;
mod membership;
mod order_error;

pub use self::engine_control::EngineControl;
pub use self::engine_order::{EngineOrder, OrderKind};
pub use self::engine_report::EngineReport;
pub use self::group_member::GroupMember;
pub use self::membership::Membership;
pub use self::order_error::OrderError;
