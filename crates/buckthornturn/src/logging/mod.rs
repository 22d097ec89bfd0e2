//! Structured logging of the process to standard output, one line per event. Logging never blocks the caller: lines over the
//! limits are dropped and counted.

mod bounded_sink;
mod line_formatter;
mod process_log;

pub use bounded_sink::BoundedSink;
pub use bounded_sink::ROUTINE_MESSAGE;
pub use line_formatter::LineFormatter;
pub use process_log::ProcessLog;

#[cfg(test)]
mod tests;
