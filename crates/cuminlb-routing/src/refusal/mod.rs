//! Refusals: why a request ends without a response, and whether it has run.

mod refusal_kind;
mod run_state;
mod typed_refusal;

pub use self::refusal_kind::RefusalKind;
pub use self::run_state::RunState;
pub use self::typed_refusal::Refusal;
