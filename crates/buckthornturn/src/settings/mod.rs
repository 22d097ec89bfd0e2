//! Settings of a single host, read once at start from a file in JSON with comments.

mod caller_bounds;
mod entry_settings;
mod host_settings;
mod log_settings;
mod operator_settings;
mod tls_settings;

pub use caller_bounds::CallerBounds;
pub use entry_settings::EntryBounds;
pub use entry_settings::EntryListeners;
pub use entry_settings::EntrySettings;
pub use entry_settings::PlatformSettings;
pub use host_settings::HostSettings;
pub use host_settings::ListenerSettings;
pub use host_settings::MetricsSettings;
pub use host_settings::StoreSettings;
pub use log_settings::LogFormat;
pub use log_settings::LogLevel;
pub use log_settings::LogSettings;
pub use operator_settings::OperatorRole;
pub use operator_settings::OperatorSettings;
pub use tls_settings::MeshTlsSettings;
pub use tls_settings::ServerTlsSettings;
pub use tls_settings::TlsSettings;
