//! The edge towards callers and operators.
//!
//! [`serve_callers`] reads callers' requests, gives each an id and hands it to a
//! [`CallerHandler`]; [`serve_operators`] does the same for operators and an
//! [`OperatorHandler`], after it has checked the operator's token. Encoding ends here: the
//! handlers see typed requests and give typed answers.

mod caller;
mod operator;
mod serve_error;
mod server;

pub use crate::caller::{
    CallTarget, CallerAnswer, CallerHandler, CallerRequest, IDEMPOTENCY_KEY_HEADER, ModelCall,
    RefusalBody, StreamPart, TIMEOUT_HEADER, serve_callers,
};
pub use crate::operator::{
    ApplyError, ApplyReport, ApplyRequest, EventsReport, EventsRequest, FleetDocument, FleetStatus,
    GroupStatus, NodeStatus, OperatorHandler, OperatorToken, OwnedGroupStatus, ServiceStatus,
    ZoneStatus, serve_operators,
};
pub use crate::serve_error::ServeError;
