//! Connections and buffers of the process as they draw on its budget.

mod connection_gate;
mod connection_meter;
mod guarded_body;
mod metered_stream;
mod reserved_buffer;

pub use connection_gate::ConnectionGate;
pub use connection_gate::GatedConnection;
pub use connection_meter::BodyMeter;
pub use connection_meter::ConnectionMeter;
pub use connection_meter::RequestGuard;
pub use guarded_body::GuardedBody;
pub use metered_stream::MeteredStream;
pub use reserved_buffer::reserve_bytes;
