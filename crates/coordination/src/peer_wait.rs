//! How long a connection has waited for its peer to send or to take bytes.

use std::time::Duration;
use std::time::Instant;

/// Rate in bytes a second below which a peer counts as slow. Ordinary callers on the slowest links send and read many times
/// faster.
const SLOW_RATE: u64 = 16 << 10;

/// Direction in which bytes move between a host and a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the peer to the host.
    Read,
    /// From the host to the peer.
    Write,
}

/// Waiting times of one connection since the start of its current message: a request, an answer, or the pause between them.
/// Time in which the host itself does not read or write does not count.
#[derive(Debug)]
pub struct PeerWait {
    expects_input: bool,
    is_read_pending: bool,
    is_write_pending: bool,
    pending_since: Option<Instant>,
    waited: Duration,
    moved_bytes: u64,
}

impl PeerWait {
    /// Creates the record of a connection whose first request is awaited.
    pub fn new(now: Instant) -> Self {
        Self {
            expects_input: true,
            is_read_pending: true,
            is_write_pending: false,
            pending_since: Some(now),
            waited: Duration::ZERO,
            moved_bytes: 0,
        }
    }

    /// Starts a new message. `expects_input` tells whether the peer has to send bytes before the host can go on.
    pub fn start_message(&mut self, expects_input: bool, now: Instant) {
        self.expects_input = expects_input;
        self.waited = Duration::ZERO;
        self.moved_bytes = 0;
        self.pending_since = None;
        self.update(now);
    }

    /// Records that the peer sent or took bytes.
    pub fn record_bytes(&mut self, direction: Direction, bytes: u64, now: Instant) {
        self.moved_bytes = self.moved_bytes.saturating_add(bytes);
        self.set_pending(direction, false, now);
    }

    /// Records that the host waits for the peer to send or to take bytes.
    pub fn record_pending(&mut self, direction: Direction, now: Instant) {
        self.set_pending(direction, true, now);
    }

    /// Time that the peer has taken beyond that of the slowest ordinary peer; `None` while the host does not wait for it.
    pub fn lag(&self, now: Instant) -> Option<Duration> {
        let since = self.pending_since?;
        let waited = self.waited + now.saturating_duration_since(since);
        let allowed = Duration::from_millis(self.moved_bytes.saturating_mul(1_000) / SLOW_RATE);
        Some(waited.saturating_sub(allowed))
    }

    fn set_pending(&mut self, direction: Direction, is_pending: bool, now: Instant) {
        match direction {
            Direction::Read => self.is_read_pending = is_pending,
            Direction::Write => self.is_write_pending = is_pending,
        }
        self.update(now);
    }

    fn update(&mut self, now: Instant) {
        let is_waiting = self.is_write_pending || (self.expects_input && self.is_read_pending);
        match (self.pending_since, is_waiting) {
            (None, true) => self.pending_since = Some(now),
            (Some(since), false) => {
                self.waited += now.saturating_duration_since(since);
                self.pending_since = None;
            }
            _ => {}
        }
    }
}
