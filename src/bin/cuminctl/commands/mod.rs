//! The subcommands. Each has a module with its options and its `exec` function.
//!
//! The doc comment of an options type is printed by `--help`.

pub(crate) mod apply;
pub(crate) mod check;
mod command_error;
mod output;
pub(crate) mod show;
pub(crate) mod status;
mod text_table;
pub(crate) mod timeline;
pub(crate) mod top;
pub(crate) mod zone;

pub(crate) use self::command_error::CommandError;
pub(crate) use self::output::print_line;
