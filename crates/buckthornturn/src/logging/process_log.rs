//! Sets up the process-wide logger, changes its level and counts the lines it dropped.

use std::sync::Arc;
use std::sync::OnceLock;

use spdlog::Level;
use spdlog::LevelFilter;
use spdlog::Logger;
use spdlog::formatter::JsonFormatter;
use spdlog::sink::SinkPropAccess;

use crate::logging::BoundedSink;
use crate::logging::LineFormatter;
use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;

/// Sink of the process-wide logger, kept to read its count of dropped lines; unset until `ProcessLog::start`.
static SINK: OnceLock<Arc<BoundedSink>> = OnceLock::new();

/// Access to the process-wide logger, which writes to standard output.
pub struct ProcessLog;

impl ProcessLog {
    /// Installs the process-wide logger with the format and level of `settings`. Called once, before anything is logged.
    ///
    /// # Errors
    ///
    /// Fails if the logging library refuses the logger.
    pub fn start(settings: &LogSettings) -> spdlog::Result<()> {
        let sink = Arc::new(BoundedSink::new(std::io::stdout()));
        match settings.format {
            LogFormat::KeyValue => sink.set_formatter(Box::new(LineFormatter)),
            LogFormat::Json => sink.set_formatter(Box::new(JsonFormatter::new())),
        }
        let _ = SINK.set(Arc::clone(&sink));
        let logger = Logger::builder()
            .sink(sink)
            .level_filter(level_filter(settings.level))
            .flush_level_filter(LevelFilter::Off)
            .build_arc()?;
        spdlog::set_default_logger(Arc::clone(&logger));
        Ok(())
    }

    /// Number of lines dropped since the start, because the queue was full, the rate limit was reached or a write failed;
    /// 0 before `start`.
    pub fn dropped_lines() -> u64 {
        SINK.get().map_or(0, |sink| sink.dropped_lines())
    }

    /// Sets the least severe level that is still written; takes effect at once.
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
