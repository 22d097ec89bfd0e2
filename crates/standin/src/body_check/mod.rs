//! Comparison of each request that a target runs with the one that its caller sent. Callers describe their request in a header,
//! which also works between processes; bodies kept in this process let a mismatch be told apart further.

mod body_store;
mod body_tally;
mod request_stamp;

pub use body_store::kept_body;
pub use body_tally::BodyCounts;
pub use body_tally::BodyTally;
pub use body_tally::MismatchKind;
pub use body_tally::RequestMismatch;
pub use body_tally::RunRequest;
pub use request_stamp::RequestStamp;
pub use request_stamp::STAMP_HEADER;
