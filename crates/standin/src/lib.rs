//! Stand-ins for the systems that buckthornturn talks to: the platform's store, targets and callers. They serve tests,
//! experiments and measurements and are not part of a release.

pub mod body_check;
pub mod demo;
pub mod deployment;
pub mod experiment;
mod http_server;
pub mod json_client;
pub mod load;
mod load_command;
pub mod log_output;
pub mod measure;
pub mod network;
pub mod platform;
pub mod report_table;
mod run;
pub mod store;
pub mod target_standin;

pub use run::run;
