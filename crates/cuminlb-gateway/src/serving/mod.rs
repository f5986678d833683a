//! Answers callers.
//!
//! [`serve_front`] runs a task for each caller's connection; [`answer_request`] is the way of one
//! request, written straight down. A plain answer is read whole before its first byte goes on; a
//! stream goes on event by event ([`StreamRelay`]) and moves to another group when its own falls
//! silent. [`LoadBook`] holds what this node sees of each instance by its own requests.

mod admit;
mod answer_body;
mod answer_request;
mod ask;
mod check_group;
mod choose_target;
mod group_standing;
mod in_flight;
mod instance_load;
mod load_book;
mod open_stream;
mod plain_exchange;
mod refusal_answer;
mod retry_budgets;
mod run_plain;
mod run_stream;
mod serve_front;
mod serve_ready;
mod silence_watch;
mod stream_relay;
mod stream_source;
mod stream_tries;
mod suspect;
mod target;
mod try_result;

pub(crate) use self::load_book::LoadBook;
pub(crate) use self::retry_budgets::RetryBudgets;
pub(crate) use self::serve_front::serve_front;
pub(crate) use self::serve_ready::serve_ready;
