//! This host's share of the bandwidth of a link between regions.

use std::time::Instant;

use coordination::token_bucket::TokenBucket;

use crate::configuration::PriorityClass;

/// Seconds of the byte rate that may be sent as a burst.
const BURST_SECONDS: u64 = 1;
/// Archive requests are admitted only while at least the capacity divided by this is unused.
const ARCHIVE_RESERVE_DIVISOR: u64 = 2;

/// Meters the bytes that this host may send over one direction of a link. Bytes are counted after they were sent, so
/// the meter can go into debt; it admits no new request until the refill has paid that off.
pub(crate) struct LinkMeter {
    bucket: TokenBucket,
    capacity: u64,
    /// Bytes sent beyond what the bucket held.
    debt: u64,
}

impl LinkMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(now), capacity: 0, debt: 0 }
    }

    /// Sets this host's share of the link, in bytes per second.
    pub(crate) fn set_share(&mut self, bytes_per_second: u64, now: Instant) {
        self.bucket.fill(now);
        self.capacity = bytes_per_second.saturating_mul(BURST_SECONDS);
        self.bucket.set_limits(bytes_per_second, self.capacity);
    }

    /// Counts bytes that were sent.
    pub(crate) fn record_transfer(&mut self, bytes: u64, now: Instant) {
        self.settle_debt(now);
        let paid = bytes.min(self.bucket.level());
        self.bucket.take_tokens(paid);
        self.debt = self.debt.saturating_add(bytes - paid);
    }

    /// Whether a request of a priority class may use the link. The lowest class, archive, needs half of the capacity to
    /// be unused.
    pub(crate) fn admits(&mut self, class: PriorityClass, now: Instant) -> bool {
        self.settle_debt(now);
        match class {
            _ if self.debt > 0 || self.bucket.level() == 0 => false,
            PriorityClass::Archive => {
                self.bucket.level() >= self.capacity / ARCHIVE_RESERVE_DIVISOR
            }
            PriorityClass::Urgent | PriorityClass::Normal => true,
        }
    }

    fn settle_debt(&mut self, now: Instant) {
        self.bucket.fill(now);
        let paid = self.debt.min(self.bucket.level());
        self.bucket.take_tokens(paid);
        self.debt -= paid;
    }
}
