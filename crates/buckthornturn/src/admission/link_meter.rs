//! This host's part of a link between regions.

use std::time::Instant;

use coordination::token_bucket::TokenBucket;

use crate::configuration::PriorityClass;

const BURST_SECONDS: u64 = 1;
const ARCHIVE_RESERVE_DIVISOR: u64 = 2;

/// Bytes that this host may send over a link. Bytes are counted after they went, so that the meter runs into debt;
/// nothing new goes over the link until it is paid off.
pub(crate) struct LinkMeter {
    bucket: TokenBucket,
    capacity: u64,
    debt: u64,
}

impl LinkMeter {
    pub(crate) fn new(now: Instant) -> Self {
        Self { bucket: TokenBucket::new(now), capacity: 0, debt: 0 }
    }

    /// Sets this host's part, in bytes a second.
    pub(crate) fn set_share(&mut self, bytes_per_second: u64, now: Instant) {
        self.bucket.fill(now);
        self.capacity = bytes_per_second.saturating_mul(BURST_SECONDS);
        self.bucket.reshape(bytes_per_second, self.capacity);
    }

    /// Counts bytes that went.
    pub(crate) fn record_transfer(&mut self, bytes: u64, now: Instant) {
        self.settle_debt(now);
        let paid = bytes.min(self.bucket.level());
        self.bucket.take(paid);
        self.debt = self.debt.saturating_add(bytes - paid);
    }

    /// Whether a request of a class may go over the link. The lowest class needs half of the capacity to be free.
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
        self.bucket.take(paid);
        self.debt -= paid;
    }
}
