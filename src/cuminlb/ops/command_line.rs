//! Parses the command line of either program and prints help and usage errors.

use std::io::Write;
use std::process::ExitCode;

use gumdrop::Options;

/// The exit status for an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Parses the arguments of the process; `synopsis` is printed after `Usage:`.
///
/// # Errors
///
/// Returns the status with which the process should exit: success after printing the requested
/// help, or 2 after printing what is wrong with the command line.
pub fn parse_command_line<T: Options>(synopsis: &str) -> Result<T, ExitCode> {
    let arguments = std::env::args_os().skip(1);
    let arguments: Vec<String> = arguments
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    match T::parse_args_default(&arguments) {
        Ok(options) if options.help_requested() => {
            let _ = write!(std::io::stdout(), "{}", help(&options, synopsis));
            Err(ExitCode::SUCCESS)
        }
        Ok(options) => Ok(options),
        Err(error) => {
            let program = synopsis.split(' ').next().unwrap_or_default();
            eprintln!("{error}; see `{program} --help`");
            Err(ExitCode::from(EXIT_USAGE))
        }
    }
}

/// Returns the help text of the program, or of the subcommand that was given.
fn help(options: &impl Options, synopsis: &str) -> String {
    let usage = options.self_usage();
    if let Some(command) = options.command_name() {
        let program = synopsis.split(' ').next().unwrap_or_default();
        return format!("Usage: {program} [OPTIONS] {command} [ARGUMENTS]\n\n{usage}\n");
    }
    match options.self_command_list() {
        Some(commands) => format!("Usage: {synopsis}\n\n{usage}\n\nCommands:\n{commands}\n"),
        None => format!("Usage: {synopsis}\n\n{usage}\n"),
    }
}
