//! Bodies that callers sent, beside those that targets got of the same attempts.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use indexmap::IndexMap;

/// Length of the piece of a body by which its place in the caller's body is found, in bytes.
const PROBE_BYTES: usize = 16;

/// Request as its caller sent it.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Method of the request.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Whole body, which the caller may send in part only.
    pub body: Bytes,
    /// Whether the caller breaks off before the end of the body.
    pub is_cut: bool,
}

/// Request that a target got.
#[derive(Clone, Debug, Default)]
pub struct ArrivalRecord {
    /// Name of the target.
    pub target: Box<str>,
    /// Identifier of the attempt, from the `x-attempt-id` header.
    pub attempt_id: Box<str>,
    /// Method of the request.
    pub method: Box<str>,
    /// Path and query.
    pub path: Box<str>,
    /// Whether the target answered that it had run the request.
    pub is_run: bool,
    /// Bytes of the body that were read so far.
    pub body: Vec<u8>,
    /// Whether the body was read to its end.
    pub is_complete: bool,
    /// Whether the connection ended before the end of the body.
    pub is_cut: bool,
}

/// How a request that a target got differs from the one that its caller sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MismatchKind {
    /// No caller sent a request with this identifier, or it had another method or path.
    OtherHead,
    /// The body begins in the middle of the caller's.
    LostStart,
    /// The body is complete and a proper start of the caller's.
    Short,
    /// The body has bytes that the caller did not send there.
    ForeignBytes,
    /// The body is not complete, and its connection is still open.
    Unfinished,
    /// Bytes that are no HTTP arrived where a head was due, or within the framing of a body.
    NoHttp,
}

/// Difference between a request that a target got and the one that its caller sent.
#[derive(Clone, Debug)]
pub struct BodyMismatch {
    /// Kind of the difference.
    pub kind: MismatchKind,
    /// Name of the target.
    pub target: Box<str>,
    /// Identifier of the attempt.
    pub attempt_id: Box<str>,
    /// Whether the target answered that it had run the request.
    pub is_run: bool,
    /// Length of the body that the caller has, in bytes.
    pub sent_bytes: usize,
    /// Length of the body that the target got, in bytes.
    pub received_bytes: usize,
    /// Offset of the first difference; for a lost start, the place in the caller's body at which the target's begins.
    pub offset: usize,
    /// First bytes at the difference.
    pub excerpt: Box<str>,
}

/// Requests of all callers and targets of a test. Clones share the ledger.
#[derive(Clone, Debug, Default)]
pub struct BodyLedger(Arc<Mutex<LedgerState>>);

#[derive(Debug, Default)]
struct LedgerState {
    sent: IndexMap<Box<str>, SentRequest>,
    arrivals: Vec<ArrivalRecord>,
    sender_faults: Vec<BodyMismatch>,
}

impl BodyLedger {
    /// Records a request that a caller is about to send.
    pub fn record_sent(&self, attempt_id: &str, request: SentRequest) {
        self.lock().sent.insert(attempt_id.into(), request);
    }

    /// Records the head of a request that a target got. Returns its place in the ledger, and how many targets got the same
    /// attempt before.
    pub fn record_arrival(&self, arrival: ArrivalRecord) -> (usize, usize) {
        let mut state = self.lock();
        let earlier =
            state.arrivals.iter().filter(|other| other.attempt_id == arrival.attempt_id).count();
        state.arrivals.push(arrival);
        (state.arrivals.len() - 1, earlier)
    }

    /// Changes the record of an arrival.
    pub fn update_arrival(&self, place: usize, update: impl FnOnce(&mut ArrivalRecord)) {
        if let Some(arrival) = self.lock().arrivals.get_mut(place) {
            update(arrival);
        }
    }

    /// Records bytes that are no HTTP.
    pub fn record_fault(&self, target: &str, attempt_id: &str, bytes: &[u8]) {
        let mismatch = BodyMismatch {
            kind: MismatchKind::NoHttp,
            target: target.into(),
            attempt_id: attempt_id.into(),
            is_run: false,
            sent_bytes: 0,
            received_bytes: bytes.len(),
            offset: 0,
            excerpt: excerpt(bytes),
        };
        self.lock().sender_faults.push(mismatch);
    }

    /// Requests that targets got, in order.
    pub fn arrivals(&self) -> Vec<ArrivalRecord> {
        self.lock().arrivals.clone()
    }

    /// Whether each body is complete or its connection has ended.
    pub fn is_settled(&self) -> bool {
        self.lock().arrivals.iter().all(|arrival| arrival.is_complete || arrival.is_cut)
    }

    /// Differences between what targets got and what callers sent. Bodies that are still being read count as unfinished.
    pub fn mismatches(&self) -> Vec<BodyMismatch> {
        let state = self.lock();
        let found = state.arrivals.iter().filter_map(|arrival| {
            let sent = state.sent.get(&arrival.attempt_id);
            let (kind, offset) = find_difference(arrival, sent)?;
            Some(BodyMismatch {
                kind,
                target: arrival.target.clone(),
                attempt_id: arrival.attempt_id.clone(),
                is_run: arrival.is_run,
                sent_bytes: sent.map_or(0, |sent| sent.body.len()),
                received_bytes: arrival.body.len(),
                offset,
                excerpt: match kind {
                    MismatchKind::OtherHead => arrival.path.clone(),
                    MismatchKind::ForeignBytes => excerpt(&arrival.body[offset..]),
                    _ => Box::default(),
                },
            })
        });
        found.chain(state.sender_faults.iter().cloned()).collect()
    }

    fn lock(&self) -> MutexGuard<'_, LedgerState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First difference between an arrival and what its caller sent, and its offset; `None` if there is none.
fn find_difference(
    arrival: &ArrivalRecord,
    sent: Option<&SentRequest>,
) -> Option<(MismatchKind, usize)> {
    let same_head =
        |sent: &&SentRequest| sent.method == arrival.method && sent.path == arrival.path;
    let Some(sent) = sent.filter(same_head) else { return Some((MismatchKind::OtherHead, 0)) };
    let received = &arrival.body[..];
    let common = received.iter().zip(&sent.body).take_while(|(one, other)| one == other).count();
    let is_whole = common == sent.body.len() && !sent.is_cut;
    match find_start(received, &sent.body) {
        _ if common == received.len() => match (arrival.is_complete, arrival.is_cut) {
            (true, _) if !is_whole => Some((MismatchKind::Short, common)),
            (false, false) => Some((MismatchKind::Unfinished, common)),
            _ => None,
        },
        Some(start) if common < PROBE_BYTES => Some((MismatchKind::LostStart, start)),
        _ => Some((MismatchKind::ForeignBytes, common)),
    }
}

/// Place in the caller's body at which the first bytes of the target's are found.
fn find_start(received: &[u8], sent: &[u8]) -> Option<usize> {
    let probe = received.get(..PROBE_BYTES)?;
    sent.windows(PROBE_BYTES).position(|window| window == probe)
}

fn excerpt(bytes: &[u8]) -> Box<str> {
    let shown = &bytes[..bytes.len().min(48)];
    shown.escape_ascii().to_string().into()
}
