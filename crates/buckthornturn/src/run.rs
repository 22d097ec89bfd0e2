//! Execution of the command line with error output and exit code.

use std::process::ExitCode;

use pico_args::Arguments;

use crate::subcommand::Subcommand;

/// Runs the command line of this process and returns its exit code. Errors are printed to standard error.
pub fn run() -> ExitCode {
    match Subcommand::parse(Arguments::from_env()).and_then(Subcommand::run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
