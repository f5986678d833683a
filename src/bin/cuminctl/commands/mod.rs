//! The subcommands: one file each, with its arguments and `exec`.

pub(crate) mod apply;
pub(crate) mod check;
mod command_error;
mod output;
pub(crate) mod show;
pub(crate) mod status;
pub(crate) mod timeline;

pub(crate) use self::command_error::CommandError;
