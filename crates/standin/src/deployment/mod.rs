//! A small deployment in one process: a store, targets, entry hosts and a simulated network between them.

mod deployment_error;
mod deployment_kind;
mod deployment_options;
mod fleet_deployment;
mod host_slot;
mod host_thread;
mod standard_load;
mod target_slot;

pub use crate::deployment::deployment_error::DeploymentError;
pub use crate::deployment::deployment_kind::DeploymentKind;
pub use crate::deployment::deployment_options::DeploymentOptions;
pub use crate::deployment::fleet_deployment::FleetDeployment;
pub use crate::deployment::fleet_deployment::GrantedKey;
pub use crate::deployment::host_slot::HostSlot;
pub use crate::deployment::standard_load::mixed_upload_template;
pub use crate::deployment::target_slot::TargetSlot;
