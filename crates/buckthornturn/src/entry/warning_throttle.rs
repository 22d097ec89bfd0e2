//! Limits how often a warning about the same subject is logged.

use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Time in which a warning about a subject is not repeated.
const REPEAT_PAUSE: Duration = Duration::from_secs(60);

/// Subjects that were warned about lately.
#[derive(Debug, Default)]
pub(super) struct WarningThrottle {
    warned_at: IndexMap<Box<str>, Instant>,
}

impl WarningThrottle {
    /// Whether a warning about a subject is to be logged now; it is then not repeated for a minute.
    pub(super) fn take(&mut self, subject: &str, now: Instant) -> bool {
        self.warned_at.retain(|_, at| now.saturating_duration_since(*at) < REPEAT_PAUSE);
        let is_due = !self.warned_at.contains_key(subject);
        if is_due {
            self.warned_at.insert(subject.into(), now);
        }
        is_due
    }
}
