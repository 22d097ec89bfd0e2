//! Reads the memory and processor time of this process from `/proc`.

use std::time::Duration;

use crate::measure::MeasureError;

const PAGE_BYTES: u64 = 4_096;
/// Unit of processor times in `/proc`, which Linux fixes at 100 per second for user space.
const TICKS_PER_SECOND: u64 = 100;
const USER_TIME_FIELD: usize = 11;
const SYSTEM_TIME_FIELD: usize = 12;

/// Memory and processor time of this process at one time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessUsage {
    /// Resident memory, in bytes, for pages of 4096 bytes.
    pub resident_bytes: u64,
    /// Processor time in user and system mode since the start of the process.
    pub processor_time: Duration,
}

impl ProcessUsage {
    /// Reads the current usage.
    ///
    /// # Errors
    ///
    /// Fails if `/proc` is missing or has an unknown format, as on systems other than Linux.
    pub fn now() -> Result<Self, MeasureError> {
        let usage_error = |reason: &str| MeasureError::Failed { reason: reason.into() };
        let read = |path: &str| {
            std::fs::read_to_string(path).map_err(|error| usage_error(&format!("{path}: {error}")))
        };
        let statm = read("/proc/self/statm")?;
        let pages: Option<u64> =
            statm.split_whitespace().nth(1).and_then(|field| field.parse().ok());
        let stat = read("/proc/self/stat")?;
        let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
        let fields: Vec<&str> = after_name.split_whitespace().collect();
        let ticks = |index: usize| fields.get(index).and_then(|field| field.parse::<u64>().ok());
        match (pages, ticks(USER_TIME_FIELD), ticks(SYSTEM_TIME_FIELD)) {
            (Some(pages), Some(user), Some(system)) => Ok(Self {
                resident_bytes: pages * PAGE_BYTES,
                processor_time: Duration::from_millis((user + system) * 1_000 / TICKS_PER_SECOND),
            }),
            _ => Err(usage_error("/proc/self/statm or /proc/self/stat has an unknown format")),
        }
    }
}
