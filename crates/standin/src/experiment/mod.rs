//! Experiments: a deployment, a load and faults at set times, reported as JSON and as an SVG chart.

mod experiment_error;
mod experiment_plan;
mod experiment_report;
mod experiment_run;
mod fault_action;
mod fault_runner;
mod headroom_sampler;
mod per_second_series;
mod report_picture;

pub use crate::experiment::experiment_error::ExperimentError;
pub use crate::experiment::experiment_plan::ExperimentPlan;
pub use crate::experiment::experiment_report::ExperimentReport;
pub use crate::experiment::experiment_report::total_target_counts;
pub use crate::experiment::experiment_run::run_experiment;
pub use crate::experiment::experiment_run::run_file;
pub use crate::experiment::fault_action::FaultAction;
pub use crate::experiment::fault_action::TimedFault;
