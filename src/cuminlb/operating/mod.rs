//! Answers operators.

mod apply;
mod operator_service;
mod status;

pub use self::operator_service::OperatorService;
