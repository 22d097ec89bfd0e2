//! Redirects the log lines of hosts that run in this process.

use std::path::Path;

use spdlog::LevelFilter;
use spdlog::sink::FileSink;

/// Writes log lines to `file`, which is truncated, or discards them if it is `None`, so that they do not mix with the
/// report on standard output.
///
/// # Errors
///
/// Fails if the file cannot be opened.
pub fn redirect_log(file: Option<&Path>) -> Result<(), spdlog::Error> {
    match file {
        None => spdlog::default_logger().set_level_filter(LevelFilter::Off),
        Some(path) => {
            let sink = FileSink::builder().path(path).truncate(true).build_arc()?;
            let logger = spdlog::Logger::builder().sink(sink).build_arc()?;
            spdlog::set_default_logger(logger);
        }
    }
    Ok(())
}
