//! The operator API of a node: status, events, metrics and changes of the configuration.

mod apply;
mod confirmation;
mod events;
mod fleet_status;
mod operator_service;
mod status;

pub use self::operator_service::OperatorService;
