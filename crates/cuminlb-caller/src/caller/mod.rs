//! The HTTP API for callers: decoding of requests and encoding of responses.

mod call_target;
mod caller_handler;
mod caller_request;
mod caller_response;
mod endpoint;
mod model_call;
mod refusal_body;
mod serve;

pub use self::call_target::CallTarget;
pub use self::caller_handler::CallerHandler;
pub use self::caller_request::{CallerRequest, IDEMPOTENCY_KEY_HEADER, TIMEOUT_HEADER};
pub use self::caller_response::{CallerResponse, StreamItem};
pub use self::model_call::ModelCall;
pub use self::refusal_body::RefusalBody;
pub use self::serve::serve_callers;
