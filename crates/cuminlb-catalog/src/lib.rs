//! Types of the desired state and of the data that instances report, without any wire format.
//!
//! A [`Catalog`] is the operators' desired state: routes, services, teams and bounds. An
//! [`InstanceEntry`] is the data that one instance publishes about itself. [`RequestHead`] and
//! [`ResponseHead`] hold the parsed headers of a request and of a response.
//!
//! The traits [`RowStore`], [`WireFormat`] and [`InstanceControl`] are the boundary to a platform.
//! Only their implementations know the platform's protocol and the names that it uses.

mod api_key;
mod authentication_error;
mod caller_bounds;
mod catalog;
mod credentials;
mod engine_spec;
mod forwarding;
mod group_order;
mod instance_control;
mod instance_entry;
mod instance_report;
mod invalid_status;
mod malformed_request;
mod malformed_row;
mod model_shape;
mod order_outcome;
mod order_response;
mod probe_response;
mod prompt_size;
mod request_head;
mod response_head;
mod response_status;
mod route;
mod route_kind;
mod row_change_set;
mod row_store;
mod seat;
mod seat_state;
mod shared_row;
mod store_error;
mod store_table;
mod team;
mod upstream_service;
mod weighted_service;
mod wire_format;
mod write_outcome;

pub use crate::api_key::ApiKey;
pub use crate::authentication_error::AuthenticationError;
pub use crate::caller_bounds::CallerBounds;
pub use crate::catalog::Catalog;
pub use crate::credentials::Credentials;
pub use crate::engine_spec::EngineSpec;
pub use crate::forwarding::Forwarding;
pub use crate::group_order::{CloseMode, GroupOrder};
pub use crate::instance_control::InstanceControl;
pub use crate::instance_entry::InstanceEntry;
pub use crate::instance_report::InstanceReport;
pub use crate::invalid_status::InvalidStatus;
pub use crate::malformed_request::MalformedRequest;
pub use crate::malformed_row::MalformedRow;
pub use crate::model_shape::ModelShape;
pub use crate::order_outcome::OrderOutcome;
pub use crate::order_response::OrderResponse;
pub use crate::probe_response::ProbeResponse;
pub use crate::prompt_size::PromptSize;
pub use crate::request_head::RequestHead;
pub use crate::response_head::ResponseHead;
pub use crate::response_status::ResponseStatus;
pub use crate::route::Route;
pub use crate::route_kind::RouteKind;
pub use crate::row_change_set::RowChangeSet;
pub use crate::row_store::RowStore;
pub use crate::seat::Seat;
pub use crate::seat_state::SeatState;
pub use crate::shared_row::SharedRow;
pub use crate::store_error::StoreError;
pub use crate::store_table::StoreTable;
pub use crate::team::Team;
pub use crate::upstream_service::UpstreamService;
pub use crate::weighted_service::WeightedService;
pub use crate::wire_format::{DesiredRow, WireFormat};
pub use crate::write_outcome::WriteOutcome;
