//! Chooses the target that runs a request. This host's own observations come first, health reports second.

mod health_track;
mod placement_candidate;
mod placement_table;
mod report_track;
mod spill_control;
mod spill_limit;
mod target_record;
mod target_report;
#[cfg(test)]
mod tests;
mod warm_ramp;

pub use health_track::HealthState;
pub use health_track::HealthTrack;
pub use placement_candidate::PlacementCandidate;
pub use placement_table::PlacementTable;
pub use placement_table::TargetGroup;
pub use report_track::MAX_REPORT_AGE;
pub use report_track::ReportTrack;
pub use report_track::ReportTrust;
pub use spill_control::SpillControl;
pub use spill_control::SpillSample;
pub use spill_limit::SpillLimit;
pub use target_record::DispatchResult;
pub use target_record::TargetRecord;
pub use target_report::TargetReport;
pub use warm_ramp::WarmRamp;
