//! The log of this process: one structured line an event, to standard output and never blocking.

mod bounded_sink;
mod line_formatter;
mod process_log;

pub use bounded_sink::BoundedSink;
pub use bounded_sink::ROUTINE_MESSAGE;
pub use line_formatter::LineFormatter;
pub use process_log::ProcessLog;

#[cfg(test)]
mod tests;
