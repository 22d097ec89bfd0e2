//! State machine that appends one change to the log at one revision while replies from the store may be lost.
//!
//! A record is created on the condition that its key does not exist. The same record can therefore be sent again
//! while an earlier write may still be in flight: the first write to arrive creates the object, the second finds
//! it present, and the change id identifies it as ours. A lagging host may create a key again that was removed
//! when the log was trimmed. A record at or below the trim mark is never in force.

use crate::ids::Revision;

/// Store calls after which the attempt gives up.
const MAX_STEPS: u32 = 12;

/// Store call that the caller makes next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendStep {
    /// Create the record if its key does not exist.
    Create,
    /// Read the record's key.
    ReadBack,
    /// Read the mark up to which the log has been trimmed.
    ReadTrimMark,
    /// The attempt has ended; no further call is needed.
    Done(AppendVerdict),
}

/// How the attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendVerdict {
    /// The record is in the log, above the trim mark.
    Accepted,
    /// Another record has this revision, or the log was trimmed past it; ours can never be in force.
    Raced,
    /// No write of this attempt reached the store, now or later.
    NotAccepted,
    /// A write may have taken effect, but the store did not confirm it.
    Unknown,
}

/// Result of the conditional create.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CreateOutcome {
    /// The store created the record.
    Created,
    /// The key already exists, so the store wrote nothing.
    Exists,
    /// The reply was lost; the write may have taken effect or may still do so later.
    Lost,
    /// The call was never made, so the write cannot take effect.
    NotSent,
}

/// Result of reading the record's key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The key holds this attempt's record.
    Ours,
    /// The key holds another host's record.
    Other,
    /// The key does not exist.
    Absent,
    /// The read failed or its reply was lost.
    Failed,
}

/// One attempt to append a record at one revision. The caller performs the call that `step` names and reports its
/// result, until `step` returns `Done`.
#[derive(Clone, Debug)]
pub struct AppendAttempt {
    revision: Revision,
    is_uncertain: bool,
    steps: u32,
    step: AppendStep,
}

impl AppendAttempt {
    /// Starts an attempt at `revision`; the first step is `Create`.
    pub fn new(revision: Revision) -> Self {
        Self { revision, is_uncertain: false, steps: 0, step: AppendStep::Create }
    }

    /// Call to make next.
    pub fn step(&self) -> AppendStep {
        self.step
    }

    /// Whether an unconfirmed write may have taken effect; the caller should pause before the next step.
    pub fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    /// Reports the result of the `Create` step.
    pub fn record_create(&mut self, outcome: CreateOutcome) {
        let next = match outcome {
            CreateOutcome::Created => AppendStep::ReadTrimMark,
            CreateOutcome::Exists if !self.is_uncertain => AppendStep::Done(AppendVerdict::Raced),
            CreateOutcome::Exists => AppendStep::ReadBack,
            CreateOutcome::Lost => AppendStep::ReadBack,
            CreateOutcome::NotSent if !self.is_uncertain => {
                AppendStep::Done(AppendVerdict::NotAccepted)
            }
            CreateOutcome::NotSent => AppendStep::ReadBack,
        };
        self.is_uncertain |= matches!(outcome, CreateOutcome::Created | CreateOutcome::Lost);
        self.advance(next);
    }

    /// Reports the result of the `ReadBack` step.
    pub fn record_read_back(&mut self, outcome: ReadOutcome) {
        self.advance(match outcome {
            ReadOutcome::Ours => AppendStep::ReadTrimMark,
            ReadOutcome::Other => AppendStep::Done(AppendVerdict::Raced),
            ReadOutcome::Absent => AppendStep::Create,
            ReadOutcome::Failed => AppendStep::ReadBack,
        });
    }

    /// Reports the result of the `ReadTrimMark` step: the trim mark, or `None` if the read failed.
    pub fn record_trim_mark(&mut self, trimmed_to: Option<Revision>) {
        self.advance(match trimmed_to {
            Some(trimmed_to) if trimmed_to >= self.revision => {
                AppendStep::Done(AppendVerdict::Raced)
            }
            Some(_) => AppendStep::Done(AppendVerdict::Accepted),
            None => AppendStep::ReadTrimMark,
        });
    }

    /// Ends the attempt without further calls, for example when its deadline has passed.
    pub fn give_up(&mut self) {
        self.step = AppendStep::Done(match self.is_uncertain {
            true => AppendVerdict::Unknown,
            false => AppendVerdict::NotAccepted,
        });
    }

    fn advance(&mut self, next: AppendStep) {
        self.steps += 1;
        self.step = next;
        if self.steps >= MAX_STEPS && !matches!(next, AppendStep::Done(_)) {
            self.give_up();
        }
    }
}
