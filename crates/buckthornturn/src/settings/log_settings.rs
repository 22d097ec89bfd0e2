//! Settings of the log.

use serde::Deserialize;
use serde::Serialize;

/// Which lines are logged, and in which format.
#[derive(Clone, Debug, Default, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Lowest severity that is written; lines below it are dropped.
    pub level: LogLevel,
    /// Format of each line.
    pub format: LogFormat,
}

/// Severity of a line, from the highest to the lowest.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// A failure that needs an operator.
    Error,
    /// A condition that is worse than it should be, but needs no operator.
    Warn,
    /// Decisions and changes of state; the default.
    #[default]
    Info,
    /// Details from which a decision was made.
    Debug,
    /// Everything else that the code logs.
    Trace,
}

/// Format of a line of the log.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text of the form `time level message key=value ...`; the default.
    #[default]
    KeyValue,
    /// One JSON object on each line.
    Json,
}
