//! Counts of the requests that targets have compared.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use serde::Deserialize;
use serde::Serialize;

use crate::body_check::RequestStamp;
use crate::body_check::kept_body;

/// Most mismatches that are kept in full; further ones are only counted.
const MAX_KEPT_MISMATCHES: usize = 16;

/// Request as a target has read it.
#[derive(Clone, Copy, Debug)]
pub struct RunRequest<'a> {
    /// Identifier of the attempt or request; empty if it has none.
    pub id: &'a str,
    /// Value of the stamp header; empty if the request has none.
    pub stamp: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Whole body.
    pub body: &'a [u8],
}

/// In what way a request differs from the one that its caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MismatchKind {
    /// The method is another one.
    Method,
    /// The path or the query is another one.
    Target,
    /// The body is empty, and the caller's is not.
    NoBody,
    /// The body is the end of the caller's.
    LostStart,
    /// The body is the start of the caller's.
    LostEnd,
    /// The body is shorter than the caller's, and its bytes are others or the caller's are not known.
    Short,
    /// The body is longer than the caller's.
    Longer,
    /// The body has the length of the caller's and other bytes.
    OtherBytes,
}

/// Request that differs from the one that its caller sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestMismatch {
    /// Identifier of the attempt or request.
    pub id: Box<str>,
    /// What differs.
    pub kind: MismatchKind,
    /// Length of the caller's body, in bytes.
    pub sent_bytes: u64,
    /// Length of the body that the target read, in bytes.
    pub run_bytes: u64,
}

/// Numbers of requests that targets have run.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct BodyCounts {
    /// Requests that were compared with what their callers sent.
    pub compared: u64,
    /// Requests of those that differed.
    pub differing: u64,
    /// Requests that had a body and no stamp.
    pub unchecked: u64,
}

impl BodyCounts {
    /// Adds the numbers of another target.
    pub fn add(&mut self, other: Self) {
        self.compared += other.compared;
        self.differing += other.differing;
        self.unchecked += other.unchecked;
    }
}

/// Compares requests, counts them and keeps the first mismatches.
#[derive(Debug, Default)]
pub struct BodyTally {
    state: Mutex<TallyState>,
}

#[derive(Debug, Default)]
struct TallyState {
    counts: BodyCounts,
    mismatches: Vec<RequestMismatch>,
    may_be_malformed: bool,
}

impl BodyTally {
    /// Compares a request that a target runs with its stamp, and returns the stamp that it should have.
    pub fn compare(&self, request: RunRequest<'_>) -> RequestStamp {
        let run = RequestStamp::new(request.method, request.target, request.body);
        let stamp = request.stamp.parse::<RequestStamp>();
        let kind = stamp.as_ref().ok().and_then(|stamp| find_mismatch(stamp, &run, request.body));
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        match (stamp, kind) {
            (Err(()), _) => state.counts.unchecked += u64::from(!request.body.is_empty()),
            (Ok(_), None) => state.counts.compared += 1,
            (Ok(stamp), Some(kind)) => {
                state.counts.compared += 1;
                state.counts.differing += 1;
                if state.mismatches.len() < MAX_KEPT_MISMATCHES {
                    state.mismatches.push(RequestMismatch {
                        id: request.id.into(),
                        kind,
                        sent_bytes: stamp.length,
                        run_bytes: request.body.len() as u64,
                    });
                }
            }
        }
        run
    }

    /// States that callers send bodies that are malformed on purpose and carry no stamp.
    pub fn allow_malformed_bodies(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).may_be_malformed = true;
    }

    /// Copy of the counts.
    pub fn counts(&self) -> BodyCounts {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).counts
    }

    /// The first requests that differed.
    pub fn mismatches(&self) -> Vec<RequestMismatch> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).mismatches.clone()
    }

    /// Counts and first mismatches if a request differed or was not checked; `None` otherwise.
    fn fault(&self) -> Option<Box<str>> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let TallyState { counts, mismatches, may_be_malformed } = &*state;
        let is_unchecked = counts.unchecked > 0 && !may_be_malformed;
        (counts.differing > 0 || is_unchecked).then(|| format!("{counts:?} {mismatches:?}").into())
    }

    /// Panics if a request differed or was not checked, unless the thread panics already. Targets call it when they are dropped.
    ///
    /// # Panics
    ///
    /// Panics with the mismatches.
    pub fn assert_unchanged(&self, target: &str) {
        match self.fault() {
            Some(fault) if !thread::panicking() => {
                panic!("target {target} ran other requests than callers sent: {fault}");
            }
            _ => {}
        }
    }
}

fn find_mismatch(stamp: &RequestStamp, run: &RequestStamp, body: &[u8]) -> Option<MismatchKind> {
    match kept_body(&stamp.body) {
        _ if run == stamp => None,
        _ if run.method != stamp.method => Some(MismatchKind::Method),
        _ if run.target != stamp.target => Some(MismatchKind::Target),
        _ if run.length > stamp.length => Some(MismatchKind::Longer),
        _ if run.length == stamp.length => Some(MismatchKind::OtherBytes),
        _ if body.is_empty() => Some(MismatchKind::NoBody),
        Some(sent) if sent.ends_with(body) => Some(MismatchKind::LostStart),
        Some(sent) if sent.starts_with(body) => Some(MismatchKind::LostEnd),
        _ => Some(MismatchKind::Short),
    }
}
