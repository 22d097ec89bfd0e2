//! Guard that counts one attempt at a target as in flight until the attempt ends.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::AttemptEnd;
use coordination::fleet::LimitChange;
use coordination::fleet::PlacementChoice;
use coordination::fleet::TargetLoad;
use coordination::ids::RouteId;
use coordination::ids::TargetId;
use http::StatusCode;
use spdlog::info;
use spdlog::warn;

use crate::entry::EntryState;
use crate::interface::AnswerHeaders;

/// One attempt at a target, counted as in flight while this value lives. An attempt that is dropped without
/// [`finish`](Self::finish), for example because the caller disconnected, is reported as abandoned.
pub struct AttemptGuard {
    state: Arc<EntryState>,
    choice: PlacementChoice,
    route: RouteId,
    started_at: Instant,
    is_over: bool,
}

impl AttemptGuard {
    /// Starts the clock of an attempt at the chosen target. The target board must have counted the choice already.
    pub fn new(state: Arc<EntryState>, choice: PlacementChoice, route: RouteId) -> Self {
        Self { state, choice, route, started_at: Instant::now(), is_over: false }
    }

    /// Target that the attempt goes to, with the load estimates it was chosen by.
    pub fn choice(&self) -> &PlacementChoice {
        &self.choice
    }

    /// Records whether a connection to the target could be opened.
    pub fn record_connection(&self, is_open: bool) {
        match is_open {
            true => self.state.record_opened(),
            false => self.state.record_unreachable(&self.choice.target),
        }
    }

    /// Time since the attempt started.
    pub fn elapsed(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether the request may still go to the target, which may leave or have asked for a pause since it was chosen.
    pub fn may_send(&self) -> bool {
        self.state.lock().board.may_still_send(&self.choice.target, Instant::now())
    }

    /// Records whether an answer of the target, also one to another request, says that it leaves.
    pub fn record_leaving(&self, facts: &AnswerHeaders) {
        let (target, started_at) = (&self.choice.target, self.choice.started_at);
        let is_stated = facts.is_leaving && !facts.is_wrong_target;
        let is_new =
            is_stated && self.state.lock().board.record_leaving(target, started_at, Instant::now());
        if is_new {
            log_leaving(target);
        }
    }

    /// Records what an answer of the target states about its limit, about a pause and about its leaving, and logs what is
    /// new or unreadable.
    pub fn record_statements(&self, facts: &AnswerHeaders) {
        self.record_leaving(facts);
        let target = &self.choice.target;
        let now = Instant::now();
        let mut core = self.state.lock();
        if let Some(pace) = facts.work_pace {
            core.board.record_pace(target, pace, now);
        }
        let change = core.board.record_limit(target, facts.limit, now);
        let started_at = self.choice.started_at;
        let has_entry = core.board.knows_target(target);
        match facts.pause {
            Some(pause) => core.board.record_pause(target, started_at, pause, now),
            None if !facts.is_not_run => core.board.record_pause_end(target, now),
            None => {}
        }
        let is_warned = facts.unreadable_limit.is_some() && core.warnings.take(target, now);
        drop(core);
        log_limit_change(target, facts.limit, change);
        if !has_entry && (facts.is_leaving || facts.pause.is_some()) {
            info!("target without an entry makes a statement", kv: {
                target:, is_leaving = facts.is_leaving,
                pause_ms = facts.pause.unwrap_or_default().as_millis() as u64
            });
        }
        if let Some(value) = facts.unreadable_limit.as_deref().filter(|_| is_warned) {
            warn!("target names a limit that is no number of requests a second", kv: { target:, value: });
        }
    }

    /// Logs that the target refused the request and for how long it wants no other one.
    pub fn log_refusal(&self, facts: &AnswerHeaders) {
        let target = &self.choice.target;
        info!("target turns a request away", kv: {
            target:, pause_ms = facts.pause.unwrap_or_default().as_millis() as u64
        });
        if let Some(value) = facts.unreadable_pause.as_deref() {
            let is_warned = self.state.lock().warnings.take(target, Instant::now());
            if is_warned {
                warn!("target asks for a pause that is no number of seconds", kv: { target:, value: });
            }
        }
    }

    /// Reports the end of an answer with a status: a failure if the target says that it failed.
    pub fn finish_answered(&mut self, status: StatusCode, load: Option<TargetLoad>) {
        let end = match status.is_server_error() {
            true => AttemptEnd::Failed,
            false => AttemptEnd::Answered { time: self.elapsed() },
        };
        self.finish(end, load);
    }

    /// Reports the end of the attempt, and the load that the target stated in its answer, if any. Only the first call
    /// counts.
    pub fn finish(&mut self, end: AttemptEnd, load: Option<TargetLoad>) {
        if !self.is_over {
            self.is_over = true;
            let now = Instant::now();
            self.state.lock().board.record_end(&self.choice, &self.route, end, load, now);
        }
    }
}

/// Logs that a target has a limit now and had none before, or the reverse.
pub(super) fn log_limit_change(target: &TargetId, rate: Option<f64>, change: LimitChange) {
    match change {
        LimitChange::Same => {}
        LimitChange::Named => {
            info!("target names a limit", kv: { target:, per_second = rate.unwrap_or_default() })
        }
        LimitChange::Lifted => info!("target names no limit any more", kv: { target: }),
    }
}

/// Logs that a target said for the first time that it leaves.
pub(super) fn log_leaving(target: &TargetId) {
    info!("target says that it leaves", kv: { target: });
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.finish(AttemptEnd::Abandoned { time: self.elapsed() }, None);
    }
}
