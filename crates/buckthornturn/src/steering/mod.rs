//! Steering: which hosts callers are sent to, which targets may get requests, and how drains progress.

mod block_counters;
mod caller_steering;
mod drain_change;
mod drain_status;
mod host_directory;
mod shift_view;
mod steering_actor;
mod steering_parts;
mod steering_plan;
mod target_steering;
#[cfg(test)]
mod tests;

pub(crate) use block_counters::hash_text;
pub(crate) use block_counters::mix_hashes;
pub use caller_steering::CallerSteering;
pub use drain_change::DrainChange;
pub use drain_change::DrainRefusal;
pub use drain_status::DrainStatus;
pub use drain_status::ServiceDrain;
pub use drain_status::drain_statuses;
pub use steering_actor::SteeringActor;
pub use steering_parts::SteeringParts;
pub use steering_plan::SteeringPlan;
pub use target_steering::TargetSteering;
