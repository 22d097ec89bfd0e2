//! HTTP interface for operators: configuration, keys, drains, status and log level.

mod config_diff;
mod operator_identity;
mod operator_service;
mod revision_coverage;
mod status_report;

pub use config_diff::ChangeEffect;
pub use config_diff::EffectAction;
pub use config_diff::FieldEffect;
pub use config_diff::change_effects;
pub use operator_identity::OperatorIdentity;
pub use operator_service::OperatorService;
pub use revision_coverage::RevisionCoverage;
pub use status_report::StatusReport;
