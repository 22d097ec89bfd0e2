//! Explains what happened to one request, from the log files of hosts.

mod log_line;
mod log_reader;
mod request_report;
#[cfg(test)]
mod tests;

pub use log_line::LogLine;
pub use log_reader::LogReader;
pub use request_report::RequestReport;
