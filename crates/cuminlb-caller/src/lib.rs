//! HTTP servers for callers and operators.
//!
//! [`serve_callers`] decodes callers' requests, assigns each an id and passes it to a
//! [`CallerHandler`]. [`serve_operators`] checks the operator token, decodes operators' calls and
//! passes them to an [`OperatorHandler`]. Only this crate knows the encoding: the handlers get
//! typed requests and return typed responses.

mod caller;
mod operator;
mod serve_error;
mod server;

pub use crate::caller::{
    CallTarget, CallerHandler, CallerRequest, CallerResponse, IDEMPOTENCY_KEY_HEADER, ModelCall,
    RefusalBody, StreamItem, TIMEOUT_HEADER, serve_callers,
};
pub use crate::operator::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    GroupStatus, NodeStatus, OperatorHandler, OperatorToken, OwnedGroupStatus, ServiceStatus,
    ZoneStatus, serve_operators,
};
pub use crate::serve_error::ServeError;
