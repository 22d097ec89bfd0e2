//! The callers' side: look-up, keys, and the path of a request to a target.

mod caller_service;
mod key_check;
mod own_steering;
mod refusal;
mod steer_answer;

pub use caller_service::CallerService;
pub use key_check::KeyCheck;
pub use key_check::key_hash;
pub use own_steering::OwnSteering;
pub use refusal::Refusal;
pub use steer_answer::SteerAnswer;
pub use steer_answer::SteerHost;
