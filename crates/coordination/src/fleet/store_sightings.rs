//! Tells an outage of the store from the isolation of this host or of its failure domain.
//!
//! Load that this answers: entries of live targets expire while the store is down for all hosts and are written again after its
//! return, whereas what the store removes after a partition has to take effect at once.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

/// Longest pause between two answers of the store within one span. The host that polls for its region calls every 1.5 s. A
/// shorter outage is taken for none: no entry expires within it.
const MAX_GAP_MS: i64 = 2_000;
/// Time after an outage in which entries of live targets may be missing. The platform restores them within about two seconds
/// of the store's return.
const RECOVERY_TIME_MS: i64 = 2_000;
/// Time after the store came back from an older copy in which a target that goes missing is kept, and for how long.
const COPY_RECOVERY_TIME_MS: i64 = 2_500;
const COPY_GRACE_MS: i64 = 2_000;

/// Oldest answer that is told, which also bounds what forged reports may say.
const MAX_AGE_MS: u64 = 3_600_000;

/// Milliseconds since the sightings were created.
type SightingTime = i64;

/// Time in which some host of the fleet had answers of the store without a longer pause, as ages in milliseconds.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct SightingReport {
    /// Age of the first of the answers.
    pub from_ms: u64,
    /// Age of the last of the answers.
    pub to_ms: u64,
}

/// When the store was last known to answer some host, and the last outage.
#[derive(Clone, Debug)]
pub struct StoreSightings {
    origin: Instant,
    seen: Option<SeenSpan>,
    outage: Option<StoreOutage>,
    copied_at: Option<SightingTime>,
}

#[derive(Clone, Copy, Debug)]
struct SeenSpan {
    from: SightingTime,
    to: SightingTime,
}

#[derive(Clone, Copy, Debug)]
struct StoreOutage {
    /// Until when the store was known to answer before; `None` if it was not.
    known_until: Option<SightingTime>,
    last_at: SightingTime,
    /// Whether other hosts had answers of the store throughout.
    is_dismissed: bool,
}

impl StoreSightings {
    /// Creates the sightings of a host that knows of no answer.
    pub fn new(now: Instant) -> Self {
        Self { origin: now, seen: None, outage: None, copied_at: None }
    }

    /// Records that the store answered a call of this host.
    pub fn record_answer(&mut self, now: Instant) {
        let at = self.time(now);
        self.merge(SeenSpan { from: at, to: at });
    }

    /// Returns what to tell the other hosts; `None` if the store is not known to have answered.
    pub fn report(&self, now: Instant) -> Option<SightingReport> {
        let (seen, now) = (self.seen?, self.time(now));
        let age = |at: SightingTime| u64::try_from(now - at).unwrap_or(0);
        Some(SightingReport { from_ms: age(seen.from), to_ms: age(seen.to) })
    }

    /// Takes over what another host reports. Returns whether this shows that the last outage was none.
    ///
    /// Only a report that the other host sent itself may be given: the ages in a forwarded one are out of date.
    pub fn merge_report(&mut self, report: SightingReport, now: Instant) -> bool {
        let now = self.time(now);
        let at = |age_ms: u64| now - age_ms.min(MAX_AGE_MS) as i64;
        let (from, to) = (at(report.from_ms), at(report.to_ms));
        if from <= to {
            self.merge(SeenSpan { from, to });
        }
        let (seen, outage) = (self.seen, self.outage.as_mut());
        let (Some(seen), Some(outage)) = (seen, outage) else { return false };
        let is_covered = outage.known_until.is_some_and(|until| seen.from <= until)
            && seen.to + MAX_GAP_MS >= outage.last_at;
        is_covered && !std::mem::replace(&mut outage.is_dismissed, true)
    }

    /// Records that neither this host nor a live one follows the store now.
    pub fn record_outage(&mut self, now: Instant) {
        let now = self.time(now);
        let known_until = self.seen.map(|seen| seen.to);
        match &mut self.outage {
            Some(outage) if !outage.is_dismissed && now - outage.last_at < RECOVERY_TIME_MS => {
                outage.last_at = now;
            }
            outage => {
                *outage = Some(StoreOutage { known_until, last_at: now, is_dismissed: false })
            }
        }
    }

    /// Records that the store came back from an older copy, in which entries of live targets may be missing.
    pub fn record_copy(&mut self, now: Instant) {
        self.copied_at = Some(self.time(now));
    }

    /// Returns until when a target that goes missing now is kept; `None` if it is to be dropped at once. As long as no other
    /// host has reported that the store was there, an outage ends for this host with its own first answer.
    pub fn grace_end(&self, now: Instant) -> Option<Instant> {
        let time = self.time(now);
        let copied_at = self.copied_at.filter(|at| time - at < COPY_RECOVERY_TIME_MS);
        let outage = self.outage.filter(|outage| !outage.is_dismissed);
        let end = match (copied_at, outage) {
            (Some(_), _) => time + COPY_GRACE_MS,
            (None, Some(outage)) => outage.last_at + RECOVERY_TIME_MS,
            (None, None) => return None,
        };
        let rest = u64::try_from(end - time).ok().filter(|rest| *rest > 0)?;
        Some(now + Duration::from_millis(rest))
    }

    /// Whether the store came back from an older copy so recently that missing targets may be kept for that.
    pub fn is_after_copy(&self, now: Instant) -> bool {
        let time = self.time(now);
        self.copied_at.is_some_and(|at| time - at < COPY_RECOVERY_TIME_MS + COPY_GRACE_MS)
    }

    /// Joins a span with the known one. Of two with a longer pause between them, the later one is kept.
    fn merge(&mut self, other: SeenSpan) {
        self.seen = Some(match self.seen {
            Some(seen)
                if other.from <= seen.to + MAX_GAP_MS && seen.from <= other.to + MAX_GAP_MS =>
            {
                SeenSpan { from: seen.from.min(other.from), to: seen.to.max(other.to) }
            }
            Some(seen) if seen.to >= other.to => seen,
            _ => other,
        });
    }

    fn time(&self, now: Instant) -> SightingTime {
        let elapsed = now.saturating_duration_since(self.origin).as_millis();
        i64::try_from(elapsed).unwrap_or(i64::MAX)
    }
}

impl From<(u64, u64)> for SightingReport {
    fn from((from_ms, to_ms): (u64, u64)) -> Self {
        Self { from_ms, to_ms }
    }
}

impl From<SightingReport> for (u64, u64) {
    fn from(report: SightingReport) -> Self {
        (report.from_ms, report.to_ms)
    }
}
