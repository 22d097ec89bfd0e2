//! Stand-in for callers: an open-loop load of many customers, bounded in count and time.

mod caller_session;
mod connection_pool;
mod content_check;
mod customer_report;
mod ideal_bucket;
mod load_driver;
mod load_plan;
mod load_report;
mod overshoot_meter;
mod request_body;
mod request_record;
mod steering_cache;

pub use crate::load::customer_report::CustomerReport;
pub use crate::load::customer_report::LatencySummary;
pub use crate::load::ideal_bucket::IdealBucket;
pub use crate::load::load_driver::LoadDriver;
pub use crate::load::load_plan::CustomerLoad;
pub use crate::load::load_plan::CustomerSurge;
pub use crate::load::load_plan::LoadPlan;
pub use crate::load::load_plan::RequestTemplate;
pub use crate::load::load_report::LoadReport;
pub use crate::load::overshoot_meter::peak_overshoot;
pub use crate::load::request_record::RequestEnd;
pub use crate::load::request_record::RequestRecord;
