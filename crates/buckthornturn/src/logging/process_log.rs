//! Sets up the log of this process and changes its level.

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

/// The sink of this process, asked for how many lines it dropped.
static SINK: OnceLock<Arc<BoundedSink>> = OnceLock::new();

/// The log of this process.
pub struct ProcessLog;

impl ProcessLog {
    /// Makes the process log as the settings say, to standard output.
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

    /// Lines dropped so far, as the sink was behind or over its rate.
    pub fn dropped_lines() -> u64 {
        SINK.get().map_or(0, |sink| sink.dropped_lines())
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
