//! Gradual moves of traffic away from failure domains and back, as a pure function of orders, cap and time.
//!
//! Every host computes the same positions from the same configuration. No host coordinates a shift, so the failure of a
//! host cannot lose one.

mod domain_capacity;
mod shift_forecast;
mod shift_input;
mod shift_limiter;
mod shift_order;
mod shift_position;
mod shift_replay;
#[cfg(test)]
mod tests;

pub use domain_capacity::DomainCapacity;
pub use shift_forecast::DelayCause;
pub use shift_forecast::OrderForecast;
pub use shift_forecast::ShiftForecast;
pub use shift_input::ShiftInput;
pub use shift_limiter::ShiftLimiter;
pub use shift_order::ShiftDirection;
pub use shift_order::ShiftOrder;
pub use shift_position::ShiftPosition;
