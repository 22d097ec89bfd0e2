//! Polling of the health and load reports of targets.

mod poll_assignment;
mod report_body;
mod target_poller;
#[cfg(test)]
mod tests;

pub use poll_assignment::PollAssignment;
pub use target_poller::TargetPoller;
