//! What probes of hosts show about the configurations that they serve by.

use std::ops::RangeInclusive;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

/// Time after a host showed a version from which it must not serve by an older one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// A request that was sent to learn which configuration a host serves by.
#[derive(Clone, Debug)]
pub struct VersionProbe {
    /// Host that the request was sent to.
    pub host: Box<str>,
    /// When the caller sent it.
    pub sent_at: Instant,
    /// When the caller had the answer.
    pub answered_at: Instant,
    /// Versions by which the host may have served it.
    pub versions: RangeInclusive<u32>,
}

/// Acknowledged versions, and probes of the hosts that serve by them.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationLedger {
    acked_at: IndexMap<u32, Instant>,
    probes: IndexMap<Box<str>, Vec<VersionProbe>>,
}

/// Probes that only older versions explain.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StaleRequests {
    /// Probes sent later than the bound after the store acknowledged a version, and served by an older one.
    pub late: usize,
    /// Probes served by an older version than the same host showed before.
    pub regressed: usize,
    /// Probes that were checked.
    pub checks: usize,
    /// Hosts of the late probes, each with the time from the acknowledgement to the sending of the last.
    pub late_hosts: IndexMap<Box<str>, Duration>,
}

impl ConfigurationLedger {
    /// Records that the store acknowledged a version; its first acknowledgement counts.
    pub fn record_ack(&mut self, version: u32, now: Instant) {
        self.acked_at.entry(version).or_insert(now);
    }

    /// Records the answer to a probe.
    pub fn record_probe(&mut self, probe: VersionProbe) {
        self.probes.entry(probe.host.clone()).or_default().push(probe);
    }

    /// Returns the probes that only older versions explain. A probe counts as late only if it was sent after `calm_from`,
    /// the end of the time in which a fault excuses hosts.
    pub fn stale_requests(&self, apply_time: Duration, calm_from: Instant) -> StaleRequests {
        let required = |probe: &VersionProbe| {
            let due = self.acked_at.iter().filter(|(_, at)| probe.sent_at > **at + apply_time);
            due.map(|(version, _)| *version).max().unwrap_or(0)
        };
        let is_late = |probe: &&VersionProbe| {
            probe.sent_at > calm_from && *probe.versions.end() < required(probe)
        };
        let probes = || self.probes.values().flatten();
        let delay = |probe: &VersionProbe| {
            let acked_at = self.acked_at.get(&required(probe)).copied();
            acked_at.map_or(Duration::ZERO, |at| probe.sent_at.saturating_duration_since(at))
        };
        let late_hosts = probes().filter(is_late).map(|probe| (probe.host.clone(), delay(probe)));
        StaleRequests {
            late_hosts: late_hosts.collect(),
            late: probes().filter(is_late).count(),
            regressed: self.probes.values().map(|probes| count_regressed(probes)).sum(),
            checks: probes().count(),
        }
    }
}

/// Number of probes of one host that an older version served than it showed before.
fn count_regressed(probes: &[VersionProbe]) -> usize {
    let is_regressed = |probe: &&VersionProbe| {
        let earlier =
            probes.iter().filter(|other| probe.sent_at > other.answered_at + ROLLBACK_SLACK);
        let shown = earlier.map(|other| *other.versions.start()).max();
        shown.is_some_and(|shown| *probe.versions.end() < shown)
    };
    probes.iter().filter(is_regressed).count()
}
