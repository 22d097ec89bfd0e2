//! Global traffic steering for services with a planned shutdown.

pub mod admission;
pub mod callers;
pub mod configuration;
pub mod document;
pub mod entry;
pub mod error;
pub mod explain;
mod host_parts;
pub mod host_process;
pub mod interface;
mod listener;
pub mod logging;
pub mod membership;
pub mod mesh;
pub mod operators;
pub mod platform;
mod run;
pub mod settings;
pub mod state;
pub mod state_parts;
pub mod steering;
pub mod store;
mod subcommand;
pub mod targets;
pub mod tls;

pub use host_process::HostProcess;
pub use run::run;
