//! Tells the story of one request from the logs of hosts.

mod log_line;
mod request_story;
mod story_reader;
#[cfg(test)]
mod tests;

pub use log_line::LogLine;
pub use request_story::RequestStory;
pub use story_reader::StoryReader;
