//! Bounds on what callers may take of a host.

use std::time::Duration;

use serde::Deserialize;

/// Bounds on what callers may take of a host.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Most open connections.
    pub max_connections: usize,
    /// Most open connections from one address.
    pub max_connections_per_address: usize,
    /// Most requests at once on one HTTP/2 connection.
    pub max_streams_per_connection: u32,
    /// Largest head of a request, in bytes; also the bytes buffered for each connection.
    pub max_head_bytes: u32,
    /// Most headers of a request.
    pub max_headers: usize,
    /// Longest wait for a request's head, in milliseconds; an idle connection is closed after it.
    pub head_timeout_ms: u64,
    /// Longest pause within a request's body, in milliseconds.
    pub body_idle_ms: u64,
    /// Longest time in which a caller takes no byte of its answer, in milliseconds.
    pub answer_idle_ms: u64,
    /// Most requests at once that are passed on to the host that issued their ticket.
    pub max_forwards: usize,
    /// Life of a ticket, in seconds.
    pub ticket_life_seconds: u64,
    /// Most tickets whose outcome is remembered; a quarter of it for one customer.
    pub max_outcomes: usize,
    /// Most bytes of answers remembered to be replayed.
    pub max_outcome_bytes: usize,
}

impl CallerBounds {
    /// Longest wait for a request's head.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Longest pause within a request's body.
    pub fn body_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.body_idle_ms)
    }

    /// Longest time in which a caller takes no byte of its answer.
    pub fn answer_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_idle_ms)
    }

    /// Life of a ticket.
    pub fn ticket_lifetime(&self) -> Duration {
        Duration::from_secs(self.ticket_life_seconds)
    }
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            max_connections: 8_192,
            max_connections_per_address: 2_048,
            max_streams_per_connection: 128,
            max_head_bytes: 16 << 10,
            max_headers: 100,
            head_timeout_ms: 30_000,
            body_idle_ms: 30_000,
            answer_idle_ms: 60_000,
            max_forwards: 256,
            ticket_life_seconds: 600,
            max_outcomes: 65_536,
            max_outcome_bytes: 8 << 20,
        }
    }
}
