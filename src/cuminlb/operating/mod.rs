//! Answers operators.

mod apply;
mod confirmation;
mod operator_service;
mod status;

pub use self::operator_service::OperatorService;
