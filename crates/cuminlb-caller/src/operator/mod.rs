//! The HTTP API for operators: endpoints and their request and response types.

mod apply_error;
mod apply_report;
mod apply_request;
mod endpoints;
mod events_report;
mod events_request;
mod fleet_document;
mod fleet_status;
mod group_status;
mod node_status;
mod operator_handler;
mod operator_token;
mod owned_group_status;
mod public_endpoints;
mod serve;
mod service_status;
mod zone_status;

pub use self::apply_error::ApplyError;
pub use self::apply_report::ApplyReport;
pub use self::apply_request::ApplyRequest;
pub use self::events_report::EventsReport;
pub use self::events_request::EventsRequest;
pub use self::fleet_document::FleetDocument;
pub use self::fleet_status::FleetStatus;
pub use self::group_status::GroupStatus;
pub use self::node_status::NodeStatus;
pub use self::operator_handler::OperatorHandler;
pub use self::operator_token::OperatorToken;
pub use self::owned_group_status::OwnedGroupStatus;
pub use self::serve::serve_operators;
pub use self::service_status::ServiceStatus;
pub use self::zone_status::ZoneStatus;
