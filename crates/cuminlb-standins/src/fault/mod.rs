//! Injected faults that can be switched while a stand-in runs.

mod fault_kind;
mod fault_state;

pub use self::fault_kind::Fault;
pub use self::fault_state::FaultState;
