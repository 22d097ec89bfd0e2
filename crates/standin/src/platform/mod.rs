//! Stand-ins for the users' platform: its object store, and targets that use its headers.

mod configuration_ledger;
mod crash_tally;
mod endless_target;
mod leaving_ledger;
mod limit_ledger;
mod pause_ledger;
mod platform_store;
mod platform_target;

pub use configuration_ledger::ConfigurationLedger;
pub use configuration_ledger::StaleRequests;
pub use configuration_ledger::VersionProbe;
pub use crash_tally::CrashTally;
pub use endless_target::EndlessPart;
pub use endless_target::EndlessTarget;
pub use leaving_ledger::LateRequests;
pub use leaving_ledger::LeavingLedger;
pub use limit_ledger::LimitLedger;
pub use limit_ledger::LimitWindow;
pub use pause_ledger::BusiestPause;
pub use pause_ledger::PauseLedger;
pub use platform_store::PlatformStore;
pub use platform_store::StoreCopy;
pub use platform_store::StoreFault;
pub use platform_target::CrashTrigger;
pub use platform_target::PlatformTarget;
pub use platform_target::RunRecord;
pub use platform_target::TargetMode;
