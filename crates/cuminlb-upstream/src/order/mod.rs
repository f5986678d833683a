//! Orders to engines and the reports that engines give.

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
