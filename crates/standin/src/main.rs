//! Entry point of the `buckthornturn-standin` binary, which runs the stand-ins, experiments and measurements.

use std::process::ExitCode;

fn main() -> ExitCode {
    standin::run()
}
