//! The configuration model: objects that operators apply, and the state in force that they add up to.

mod assignment_spec;
mod config_object;
mod configuration_cell;
mod configuration_state;
mod domain_spec;
mod drain_order;
mod key_record;
mod link_spec;
mod profile_spec;
mod route_spec;
mod service_spec;
mod target_spec;
mod tenant_spec;

pub use assignment_spec::AssignmentSpec;
pub use config_object::ConfigObject;
pub use configuration_cell::ConfigurationCell;
pub use configuration_state::ConfigurationState;
pub use domain_spec::DomainSpec;
pub use drain_order::DrainOrder;
pub use drain_order::DrainScope;
pub use key_record::KeyRecord;
pub use link_spec::LinkSpec;
pub use profile_spec::PriorityClass;
pub use profile_spec::ProfileSpec;
pub use profile_spec::QueuePolicy;
pub use profile_spec::ScheduledDrain;
pub use profile_spec::StaleKeyChoice;
pub use profile_spec::StaleKeyPolicy;
pub use route_spec::RouteSpec;
pub use service_spec::ServiceSpec;
pub use target_spec::TargetSpec;
pub use tenant_spec::TenantSpec;
