//! How a change is appended to the log at one revision while answers of the store may be lost.
//!
//! A record is created under the condition that its key does not exist. That makes it safe to send the same
//! record again while an earlier write may still be on its way: whichever arrives first creates the object, the
//! other finds it there, and the change's id tells that it is ours. A key below the mark up to which the log has
//! been trimmed may have been removed and so created again by a host that lags; such a record is never in force.

use crate::ids::Revision;

/// Most steps before the attempt is given up.
const MAX_STEPS: u32 = 12;

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendStep {
    /// Create the record if its key does not exist.
    Create,
    /// Read the record's key.
    ReadBack,
    /// Read the mark up to which the log has been trimmed.
    ReadTrimMark,
    /// Over.
    Done(AppendVerdict),
}

/// How the attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AppendVerdict {
    /// The record is in the log.
    Accepted,
    /// Another record has this revision; ours can never be in force.
    Raced,
    /// Nothing was written.
    NotAccepted,
    /// A write may have taken effect, and the store did not say.
    Unknown,
}

/// What came of creating the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CreateOutcome {
    /// Created.
    Created,
    /// The key exists.
    Exists,
    /// The answer was lost; the write may take effect, also later.
    Lost,
    /// The call was not made.
    NotSent,
}

/// What reading the key showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// Our record.
    Ours,
    /// Another record.
    Other,
    /// Nothing.
    Absent,
    /// The read failed.
    Failed,
}

/// One attempt to append a record at one revision.
#[derive(Clone, Debug)]
pub struct AppendAttempt {
    revision: Revision,
    is_uncertain: bool,
    steps: u32,
    step: AppendStep,
}

impl AppendAttempt {
    /// An attempt at a revision.
    pub fn new(revision: Revision) -> Self {
        Self { revision, is_uncertain: false, steps: 0, step: AppendStep::Create }
    }

    /// What to do next.
    pub fn step(&self) -> AppendStep {
        self.step
    }

    /// Whether a write may have taken effect without our knowing, so that a pause should go before the next step.
    pub fn is_uncertain(&self) -> bool {
        self.is_uncertain
    }

    /// Takes the outcome of `Create`.
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

    /// Takes the outcome of `ReadBack`.
    pub fn record_read_back(&mut self, outcome: ReadOutcome) {
        self.advance(match outcome {
            ReadOutcome::Ours => AppendStep::ReadTrimMark,
            ReadOutcome::Other => AppendStep::Done(AppendVerdict::Raced),
            ReadOutcome::Absent => AppendStep::Create,
            ReadOutcome::Failed => AppendStep::ReadBack,
        });
    }

    /// Takes the trim mark, or `None` if reading it failed.
    pub fn record_trim_mark(&mut self, trimmed_to: Option<Revision>) {
        self.advance(match trimmed_to {
            Some(trimmed_to) if trimmed_to >= self.revision => {
                AppendStep::Done(AppendVerdict::Raced)
            }
            Some(_) => AppendStep::Done(AppendVerdict::Accepted),
            None => AppendStep::ReadTrimMark,
        });
    }

    /// Gives up, as time has run out.
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
