//! The operations behind the command lines of `cuminlb` and `cuminctl`.

mod check_files;
mod command_line;
mod line_writer;
mod logging;
mod operator_client;
mod operator_client_error;
mod read_error;
mod run_error;
mod run_node;
mod text_diff;
mod time_point;

pub use self::check_files::{check_fleet, check_gateway_settings, check_settings};
pub use self::command_line::read_command_line;
pub use self::logging::{init_decision_log, init_logging};
pub use self::operator_client::OperatorClient;
pub use self::operator_client_error::OperatorClientError;
pub use self::read_error::ReadError;
pub use self::run_error::RunError;
pub use self::run_node::run_node;
pub use self::text_diff::{DiffLine, diff_lines, with_context};
pub use self::time_point::TimePoint;
