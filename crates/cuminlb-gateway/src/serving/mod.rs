//! Serves callers.
//!
//! [`serve_callers`] runs a task for each caller connection, which [`serve_connection`] serves;
//! [`handle_request`] is the path of one request, written straight down. A plain response is
//! buffered completely before its first byte is passed on. A stream is relayed event by event
//! ([`StreamRelay`]). When its group falls silent, it is offered to another group, and continues
//! with the first of both that sends something ([`StreamAttempts`]). [`LoadTracker`] holds what this
//! node observes of each instance
//! through its own requests.

mod admit;
mod admitted_request;
mod attempt_failure;
mod attempt_obstacle;
mod attempt_stage;
mod attempt_update;
mod bodies_held_refusal;
mod caller_connection;
mod caller_stream;
mod check_instance;
mod choose_group;
mod choose_target;
mod contain_panic;
mod crash_causes;
mod denial_log;
mod discard_rest;
mod draining_refusal;
mod event_content;
mod examined_request;
mod group_checks;
mod guarded_body;
mod handle_request;
mod head_refusal;
mod in_flight_guard;
mod incoming_head;
mod instance_checks;
mod instance_load;
mod load_tracker;
mod member_probe;
mod no_catalog_refusal;
mod node_position;
mod notice_failure;
mod open_streams;
mod overload_refusal;
mod plain_attempt;
mod plain_attempts;
mod plain_exchange;
mod probe_group;
mod quarantine;
mod read_body;
mod read_buffer;
mod record_leaving;
mod record_limit;
mod record_lost_head;
mod refusal_response;
mod refuse_head;
mod request_deadline;
mod request_guard;
mod request_stage;
mod response_body;
mod retry_budgets;
mod run_connection;
mod run_plain;
mod run_stream;
mod running_check;
mod running_check_guard;
mod serve_callers;
mod serve_connection;
mod serve_local;
mod serve_ready;
mod share_crashes;
mod share_loads;
mod silence;
mod silence_limit;
mod silence_watch;
mod slot_usage;
mod stream_attempt;
mod stream_attempts;
mod stream_error;
mod stream_head;
mod stream_progress;
mod stream_relay;
mod stream_source;
mod stream_update;
mod suspect;
mod target;
mod team_loads;
mod wait_for_target;

pub(crate) use self::group_checks::GroupChecks;
pub(crate) use self::instance_checks::InstanceChecks;
pub(crate) use self::load_tracker::LoadTracker;
pub(crate) use self::probe_group::{holds_seat, probe_member};
pub(crate) use self::retry_budgets::RetryBudgets;
pub(crate) use self::serve_callers::serve_callers;
pub(crate) use self::serve_local::serve_local;
pub(crate) use self::serve_ready::serve_ready;
pub(crate) use self::share_crashes::share_crashes;
pub(crate) use self::share_loads::share_loads;
pub(crate) use self::target::Target;
