//! Keeps requests that are refused because they crash targets, for a fleet whose hosts all restart.

use std::time::SystemTime;

use coordination::fleet::CrashReport;
use coordination::fleet::RequestFingerprint;
use futures::future::BoxFuture;

use crate::interface::SourceError;

/// What was known of a refused request at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct ArchivedCrashes {
    /// The report, whose ages count back from `recorded_at`.
    pub report: CrashReport,
    /// When the report was made, by the clock of the host that wrote it.
    pub recorded_at: SystemTime,
}

/// Result of reading the refused requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LoadedCrashes {
    /// Requests that could be decoded.
    pub archived: Vec<ArchivedCrashes>,
    /// Number of entries that could not, in versions that the archive had not met before.
    pub unreadable: u64,
}

/// Place outside the hosts where refused requests are kept. Each call has a timeout.
pub trait CrashArchive: Send + Sync {
    /// Reads all refused requests; those that cannot be decoded are left out.
    fn load(&self) -> BoxFuture<'_, Result<LoadedCrashes, SourceError>>;

    /// Writes a refused request in place of what was known of it.
    fn save(&self, archived: ArchivedCrashes) -> BoxFuture<'_, Result<(), SourceError>>;

    /// Removes a request that is no longer refused.
    fn remove(&self, fingerprint: RequestFingerprint) -> BoxFuture<'_, Result<(), SourceError>>;
}
