//! The library behind the programs `cuminlb` and `cuminctl`: command-line parsing, configuration
//! files, logging, running a node and calling the operator API.

mod command_line;
mod config_file_error;
mod config_files;
mod line_writer;
mod logging;
mod operator_client;
mod operator_client_error;
mod run_error;
mod run_node;
mod text_diff;
mod time_point;

pub use self::command_line::parse_command_line;
pub use self::config_file_error::ConfigFileError;
pub use self::config_files::{load_fleet_file, load_gateway_settings, load_settings};
pub use self::logging::{init_decision_log, init_logging};
pub use self::operator_client::OperatorClient;
pub use self::operator_client_error::OperatorClientError;
pub use self::run_error::RunError;
pub use self::run_node::run_node;
pub use self::text_diff::{DiffLine, diff_lines, with_context};
pub use self::time_point::TimePoint;
