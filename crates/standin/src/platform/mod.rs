//! Stand-ins for the users' platform: its store of objects, and targets that speak its headers.

mod platform_store;
mod platform_target;

pub use platform_store::PlatformStore;
pub use platform_store::StoreFault;
pub use platform_target::PlatformTarget;
pub use platform_target::RunRecord;
pub use platform_target::TargetMode;
