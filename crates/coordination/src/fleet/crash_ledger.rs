//! Requests that crash the targets that run them, as all hosts together see them.
//!
//! Load that this answers: a request that ends each target which begins to run it, and comes again at any host. Each host
//! meets it a few times at most, so crashes are counted over the fleet. A target that ends takes requests with it that are
//! not to blame: an answer clears a request, and one that was there when three targets ended is tried once more before it is
//! refused for long.

use std::cmp::Reverse;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;
use rand::seq::SliceRandom;
use serde::Deserialize;
use serde::Serialize;

use crate::fleet::RequestFingerprint;
use crate::fleet::target_balancer::mix_hashes;
use crate::rendezvous::rendezvous_score;

/// Hosts that count the crashes under a request, so that one of them may be lost.
const KEEPERS: usize = 2;
/// Crashes from which all hosts know of a request and do not repeat it within one attempt of its caller.
const SUSPECTED_CRASHES: usize = 2;
/// Crashes from which a request is only sent as a trial.
const REFUSED_CRASHES: usize = 3;
/// Time within which the copies of a request on one target end with the same crash; a target that restarts takes longer.
const SAME_CRASH_TIME: Duration = Duration::from_secs(1);
/// Pauses after each trial before the next one; there is none after the last.
const TRIAL_PAUSES: [Duration; 2] = [Duration::from_secs(30), Duration::from_secs(600)];
/// Time in which a trial usually ends, and the wait that is told until then.
const TRIAL_TIME: Duration = Duration::from_secs(2);
const TRIAL_WAIT: Duration = Duration::from_millis(500);
/// Time for which a request is remembered after its last crash or trial: one that crashed several targets, and another.
const MEMORY_TIME: Duration = Duration::from_secs(3_600);
const SHORT_MEMORY_TIME: Duration = Duration::from_secs(60);
/// Time for which hosts report that a request was answered: many heartbeats.
const ANSWER_REPORT_TIME: Duration = Duration::from_secs(10);
/// Most requests that are remembered, and most reports in one heartbeat.
const MAX_RECORDS: usize = 1_024;
const MAX_REPORTS: usize = 8;

/// Digest of a target's name.
type TargetDigest = u32;

/// What is known of a request over all hosts: the crashes since its last answer, and its trials.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// Request that the report is about.
    pub fingerprint: RequestFingerprint,
    /// Targets that ended under it, each with the time since then in milliseconds.
    pub crashes: Vec<(TargetDigest, u32)>,
    /// Times that it was tried after it had crashed several targets.
    pub trials: u32,
    /// Time since the last trial, in milliseconds.
    pub tried_ms: Option<u32>,
    /// Time since a target answered it, in milliseconds; earlier crashes do not count.
    pub answered_ms: Option<u32>,
}

impl CrashReport {
    /// Returns the report as it reads a time later.
    pub fn aged(self, time: Duration) -> Self {
        let time = u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let later = |age_ms: u32| age_ms.saturating_add(time);
        Self {
            crashes: self.crashes.iter().map(|(target, age)| (*target, later(*age))).collect(),
            tried_ms: self.tried_ms.map(later),
            answered_ms: self.answered_ms.map(later),
            ..self
        }
    }
}

/// What may be done with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// It is sent as usual.
    Trusted,
    /// It is sent, but not repeated after a target that closed the connection.
    Suspected,
    /// It is sent if its keeper grants a trial.
    NeedsTrial,
    /// It is refused.
    Refused {
        /// Time until the next trial.
        wait: Duration,
    },
}

/// Answer of a keeper to a host that wants to try a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialGrant {
    /// The host sends the request, to one target.
    Granted,
    /// The host refuses the request.
    Refused {
        /// Time until the next trial.
        wait: Duration,
    },
}

/// Effect of a report on what all hosts are to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashChange {
    /// Nothing that other hosts act on.
    None,
    /// The request is suspected, or was tried again.
    Noted,
    /// The request is refused from now on.
    Refused,
    /// A target answered the request, which was suspected.
    Cleared,
}

/// Crashes under requests, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    records: IndexMap<RequestFingerprint, CrashRecord>,
}

#[derive(Clone, Debug, Default)]
struct CrashRecord {
    crashes: Vec<(TargetDigest, Instant)>,
    trials: u32,
    tried_at: Option<Instant>,
    answered_at: Option<Instant>,
}

impl CrashLedger {
    /// Records that a target closed its connection under a request. Returns the report for the request's keepers; `None` if
    /// the crash is known.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        target: &str,
        now: Instant,
    ) -> Option<CrashReport> {
        let record = self.record_for(fingerprint);
        let is_new = record.add_crash(rendezvous_score(&[target]) as TargetDigest, now);
        is_new.then(|| record.report(fingerprint, now))
    }

    /// Records that a target answered a request. Returns the report for the request's keepers if it was under suspicion.
    pub fn record_answer(
        &mut self,
        fingerprint: RequestFingerprint,
        now: Instant,
    ) -> Option<CrashReport> {
        let record = self.records.get_mut(&fingerprint)?;
        let was_suspected = !record.crashes.is_empty();
        record.clear(now);
        was_suspected.then(|| record.report(fingerprint, now))
    }

    /// Takes over what another host reports.
    pub fn merge_report(&mut self, report: &CrashReport, now: Instant) -> CrashChange {
        let at = |age_ms: u32| now.checked_sub(Duration::from_millis(age_ms.into()));
        let record = self.record_for(report.fingerprint);
        let (crashes, trials) = (record.crashes.len(), record.trials);
        let answered_at = report.answered_ms.and_then(at);
        if let Some(answered_at) = answered_at.filter(|at| Some(*at) > record.answered_at) {
            record.clear(answered_at);
        }
        for (target, age_ms) in &report.crashes {
            if let Some(crashed_at) = at(*age_ms) {
                record.add_crash(*target, crashed_at);
            }
        }
        let tried_at = report.tried_ms.and_then(at);
        if tried_at > record.answered_at.max(record.tried_at) {
            record.tried_at = tried_at;
            record.trials = record.trials.max(report.trials);
        }
        match record.crashes.len() {
            0 | 1 if crashes >= SUSPECTED_CRASHES => CrashChange::Cleared,
            known if known >= REFUSED_CRASHES && crashes < REFUSED_CRASHES => CrashChange::Refused,
            known if known >= SUSPECTED_CRASHES && crashes < SUSPECTED_CRASHES => {
                CrashChange::Noted
            }
            _ if record.trials > trials => CrashChange::Noted,
            _ => CrashChange::None,
        }
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Whether a request with this digest of its head is known, so that its body needs to be compared.
    pub fn knows_head(&self, head: u64) -> bool {
        self.records.iter().any(|(known, record)| known.head == head && !record.crashes.is_empty())
    }

    /// Returns what may be done with a request now.
    pub fn verdict(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashVerdict {
        let record = self.records.get(&fingerprint);
        match record.map_or(0, |record| record.crashes.len()) {
            REFUSED_CRASHES.. => match record.and_then(|record| record.wait(now)) {
                None => CrashVerdict::NeedsTrial,
                Some(wait) => CrashVerdict::Refused { wait },
            },
            SUSPECTED_CRASHES => CrashVerdict::Suspected,
            _ => CrashVerdict::Trusted,
        }
    }

    /// Decides as the keeper of a request whether a host may try it now.
    pub fn grant_trial(&mut self, fingerprint: RequestFingerprint, now: Instant) -> TrialGrant {
        match self.verdict(fingerprint, now) {
            CrashVerdict::Trusted | CrashVerdict::Suspected => TrialGrant::Granted,
            CrashVerdict::Refused { wait } => TrialGrant::Refused { wait },
            CrashVerdict::NeedsTrial => {
                let record = self.record_for(fingerprint);
                record.trials += 1;
                record.tried_at = Some(now);
                TrialGrant::Granted
            }
        }
    }

    /// Returns the report of what is known of a request.
    pub fn report(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashReport {
        let record = self.records.get(&fingerprint).cloned().unwrap_or_default();
        record.report(fingerprint, now)
    }

    /// Returns reports of requests that other hosts should know of, those with most crashes if there are many.
    pub fn reports(&self, now: Instant) -> Vec<CrashReport> {
        let is_told = |record: &CrashRecord| {
            let is_cleared = record
                .answered_at
                .is_some_and(|at| now.saturating_duration_since(at) < ANSWER_REPORT_TIME);
            is_cleared || record.crashes.len() >= SUSPECTED_CRASHES
        };
        let told = self.records.iter().filter(|(_, record)| is_told(record));
        let mut reports: Vec<_> =
            told.map(|(fingerprint, record)| record.report(*fingerprint, now)).collect();
        reports.shuffle(&mut rand::rng());
        reports.sort_by_key(|report| Reverse(report.crashes.len()));
        reports.truncate(MAX_REPORTS);
        reports
    }

    /// Returns the number of requests that are refused or tried.
    pub fn refused_requests(&self) -> usize {
        self.records.values().filter(|record| record.crashes.len() >= REFUSED_CRASHES).count()
    }

    /// Forgets requests that crashed no target for long.
    pub fn prune(&mut self, now: Instant) {
        self.records.retain(|_, record| {
            let memory = match record.crashes.len() {
                SUSPECTED_CRASHES.. => MEMORY_TIME,
                _ => SHORT_MEMORY_TIME,
            };
            record.latest().is_some_and(|at| now.saturating_duration_since(at) < memory)
        });
    }

    fn record_for(&mut self, fingerprint: RequestFingerprint) -> &mut CrashRecord {
        let is_full = self.records.len() >= MAX_RECORDS && !self.records.contains_key(&fingerprint);
        let least = self
            .records
            .iter()
            .filter(|_| is_full)
            .min_by_key(|(_, record)| (record.crashes.len(), record.latest()))
            .map(|(known, _)| *known);
        if let Some(least) = least {
            self.records.swap_remove(&least);
        }
        self.records.entry(fingerprint).or_default()
    }
}

impl CrashRecord {
    /// Adds a crash later than the last answer; returns whether it was not known.
    fn add_crash(&mut self, target: TargetDigest, at: Instant) -> bool {
        let is_same = |known: &(TargetDigest, Instant)| {
            let (earlier, later) = (known.1.min(at), known.1.max(at));
            known.0 == target && later - earlier < SAME_CRASH_TIME
        };
        let is_known = self.crashes.iter().any(is_same);
        if is_known || self.answered_at.is_some_and(|answered_at| at <= answered_at) {
            return false;
        }
        // Further crashes change nothing but how long the request is remembered.
        self.crashes.truncate(REFUSED_CRASHES);
        self.crashes.push((target, at));
        true
    }

    fn clear(&mut self, answered_at: Instant) {
        self.answered_at = Some(answered_at);
        self.crashes.retain(|(_, at)| *at > answered_at);
        if self.tried_at.is_some_and(|at| at <= answered_at) {
            (self.trials, self.tried_at) = (0, None);
        }
    }

    /// Time until the next trial; `None` if it is due.
    fn wait(&self, now: Instant) -> Option<Duration> {
        let since = now.saturating_duration_since(self.tried_at?);
        let pause = self.trials.checked_sub(1).and_then(|last| TRIAL_PAUSES.get(last as usize));
        let wait = pause.copied().unwrap_or(MEMORY_TIME).saturating_sub(since);
        match wait.is_zero() {
            true => None,
            false if since < TRIAL_TIME => Some(TRIAL_WAIT),
            false => Some(wait),
        }
    }

    fn latest(&self) -> Option<Instant> {
        let crashed_at = self.crashes.iter().map(|(_, at)| *at).max();
        crashed_at.max(self.tried_at).max(self.answered_at)
    }

    fn report(&self, fingerprint: RequestFingerprint, now: Instant) -> CrashReport {
        let age_ms = |at: Instant| {
            u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
        };
        CrashReport {
            fingerprint,
            crashes: self.crashes.iter().map(|(target, at)| (*target, age_ms(*at))).collect(),
            trials: self.trials,
            tried_ms: self.tried_at.map(age_ms),
            answered_ms: self.answered_at.map(age_ms),
        }
    }
}

/// Returns the keepers of a request among the given hosts, the one that grants trials first. Hosts that know the same hosts
/// select the same keepers.
pub fn select_crash_keepers<'a>(
    fingerprint: RequestFingerprint,
    hosts: impl Iterator<Item = &'a str>,
) -> Vec<&'a str> {
    let item = fingerprint.head ^ fingerprint.body;
    let mut hosts: Vec<_> =
        hosts.map(|host| (mix_hashes(rendezvous_score(&[host]), item), host)).collect();
    hosts.sort_by(|a, b| b.cmp(a));
    hosts.into_iter().take(KEEPERS).map(|(_, host)| host).collect()
}
