//! Entry point of the `buckthornturn` program.

use std::process::ExitCode;

fn main() -> ExitCode {
    buckthornturn::run()
}
