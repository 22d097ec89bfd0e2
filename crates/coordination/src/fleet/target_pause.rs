//! Pause that a target asks hosts for when it turns a request away.
//!
//! Load that this answers: a target that is in need and wants no requests from a host for some time. What a target asked of
//! this host binds it. What it asked of others is a hint: most hosts leave the target without asking it themselves, which
//! would cost a request and a retry for each host, and two go on until they are turned away too.

use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::ids::TargetId;

/// Hosts that still send to a target that asked others for a pause.
pub(super) const PAUSE_SENDERS: usize = 2;
/// Longest pause that counts, so that an absurd value does not take a target out of use.
const MAX_PAUSE: Duration = Duration::from_secs(3_600);
/// Time after a pause in which the senders try the target before all others come back to it.
const RETURN_MARGIN: Duration = Duration::from_millis(1_500);
/// Time for which hosts report that a target takes requests again: many heartbeats.
const ENDED_REPORT_TIME: Duration = Duration::from_secs(5);

/// What a target last said to any host about a pause.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(from = "(TargetId, Option<u32>, u32)", into = "(TargetId, Option<u32>, u32)")]
pub struct PauseReport {
    /// Target that said it.
    pub target: TargetId,
    /// Time that was left of the pause when it was reported, in milliseconds; `None` if the target answered a request since.
    pub left_ms: Option<u32>,
    /// Time since the target said it, in milliseconds.
    pub age_ms: u32,
}

/// Pauses that a target asked for, as one host knows them.
#[derive(Clone, Debug, Default)]
pub struct TargetPause {
    own_until: Option<Instant>,
    fleet_until: Option<Instant>,
    stated_at: Option<Instant>,
    is_sender: bool,
}

impl TargetPause {
    /// Records that the target turned a request of this host away and asked for a pause. A shorter pause does not end a
    /// longer one.
    pub fn record_pause(&mut self, pause: Duration, now: Instant) {
        let until = now + pause.min(MAX_PAUSE);
        self.own_until = self.own_until.max(Some(until));
        self.record_statement(Some(until), now);
    }

    /// Records that the target answered a request of this host, which ends the pause for hosts that were not asked for one.
    pub fn record_answer(&mut self, now: Instant) {
        if !self.is_paused(now) {
            self.own_until = None;
        }
        if self.is_fleet_paused(now) {
            self.record_statement(None, now);
        }
    }

    /// Records what the target said to another host: the end of a pause, or that there is none. An older statement than the
    /// known one changes nothing.
    pub fn record_statement(&mut self, until: Option<Instant>, stated_at: Instant) {
        if self.stated_at.is_none_or(|known| known < stated_at) {
            self.fleet_until = until.map(|until| until.min(stated_at + MAX_PAUSE));
            self.stated_at = Some(stated_at);
        }
    }

    /// Sets whether this host goes on sending while the target pauses for others.
    pub(super) fn set_sender(&mut self, is_sender: bool) {
        self.is_sender = is_sender;
    }

    /// Whether the target asked this host for a pause that is not over.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.own_until.is_some_and(|until| now < until)
    }

    /// Whether the target asked this host for a pause and answered no request of it since.
    pub fn is_doubtful(&self) -> bool {
        self.own_until.is_some()
    }

    /// Whether new requests of this host may go to the target.
    pub fn may_send(&self, now: Instant) -> bool {
        !self.is_paused(now) && (self.is_sender || !self.is_fleet_paused(now))
    }

    /// Time until this host may send a request; zero if it may now.
    pub fn wait(&self, now: Instant) -> Duration {
        let hint = self.fleet_until.filter(|_| !self.is_sender).map(|until| until + RETURN_MARGIN);
        let until = self.own_until.max(hint);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Time left of the pause that other hosts should know of, or none for one that ended early, and the age of the
    /// statement; `None` if there is nothing to tell.
    pub(super) fn report(&self, now: Instant) -> Option<(Option<Duration>, Duration)> {
        let age = now.saturating_duration_since(self.stated_at?);
        match self.fleet_until {
            Some(until) if self.is_fleet_paused(now) => {
                Some((Some(until.saturating_duration_since(now)), age))
            }
            None if age < ENDED_REPORT_TIME => Some((None, age)),
            _ => None,
        }
    }

    fn is_fleet_paused(&self, now: Instant) -> bool {
        self.fleet_until.is_some_and(|until| now < until + RETURN_MARGIN)
    }
}

impl From<(TargetId, Option<u32>, u32)> for PauseReport {
    fn from((target, left_ms, age_ms): (TargetId, Option<u32>, u32)) -> Self {
        Self { target, left_ms, age_ms }
    }
}

impl From<PauseReport> for (TargetId, Option<u32>, u32) {
    fn from(report: PauseReport) -> Self {
        (report.target, report.left_ms, report.age_ms)
    }
}
