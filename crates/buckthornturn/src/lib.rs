//! Global traffic steering for services with a planned shutdown.

pub mod admission;
pub mod callers;
pub mod configuration;
pub mod document;
pub mod entry;
pub mod error;
pub mod explain;
pub mod host_process;
mod host_startup;
pub mod interface;
mod json_extent;
mod listener;
pub mod logging;
pub mod membership;
pub mod mesh;
pub mod operators;
pub mod platform;
pub mod resources;
mod run;
pub mod settings;
pub mod shared_state;
pub mod sockets;
pub mod state;
pub mod steering;
pub mod store;
mod subcommand;
pub mod targets;
pub mod tls;

pub use host_process::HostProcess;
pub use run::run;
