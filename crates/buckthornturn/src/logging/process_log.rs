//! Sets up the log of this process and changes its level.

use std::sync::Arc;
use std::time::Duration;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::StdStreamSink;

use crate::logging::LineFormatter;
use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;

const FLUSH_PERIOD: Duration = Duration::from_millis(500);

/// The log of this process.
pub struct ProcessLog;

impl ProcessLog {
    /// Makes the process log as the settings say, to standard output.
    ///
    /// # Errors
    ///
    /// Fails if the logging library refuses the logger.
    pub fn start(settings: &LogSettings) -> spdlog::Result<()> {
        let sink = StdStreamSink::builder().stdout();
        let sink = match settings.format {
            LogFormat::KeyValue => sink.formatter(LineFormatter).build_arc()?,
            LogFormat::Json => sink.formatter(JsonFormatter::new()).build_arc()?,
        };
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(level_filter(settings.level))
            .flush_level_filter(LevelFilter::MoreSevereEqual(Level::Warn))
            .build_arc()?;
        spdlog::set_default_logger(Arc::clone(&logger));
        logger.set_flush_period(Some(FLUSH_PERIOD));
        Ok(())
    }

    /// Changes the least severe level that is written.
    pub fn set_level(level: LogLevel) {
        spdlog::default_logger().set_level_filter(level_filter(level));
    }
}

fn level_filter(level: LogLevel) -> LevelFilter {
    LevelFilter::MoreSevereEqual(match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
        LogLevel::Trace => Level::Trace,
    })
}
