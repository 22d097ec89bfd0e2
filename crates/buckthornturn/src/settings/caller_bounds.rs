//! Limits on the resources of a host that callers may use.

use std::time::Duration;

use serde::Deserialize;

/// Limits on the resources of a host that callers may use. Each host applies them on its own.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Maximum number of open connections of all callers.
    pub max_connections: usize,
    /// Maximum number of open connections from one IP address.
    pub max_connections_per_address: usize,
    /// Maximum number of concurrent requests on one HTTP/2 connection.
    pub max_streams_per_connection: u32,
    /// Maximum size of a request's head, in bytes; also the size of the buffer of each connection.
    pub max_head_bytes: u32,
    /// Maximum number of headers of a request.
    pub max_headers: usize,
    /// Maximum wait for the head of a request, in milliseconds. An idle connection is closed after this time.
    pub head_timeout_ms: u64,
    /// Maximum time without a byte of an unfinished request body, in milliseconds.
    pub body_idle_ms: u64,
    /// Maximum time in which a caller reads no byte of its answer, in milliseconds.
    pub answer_idle_ms: u64,
    /// Maximum number of concurrent requests that are forwarded to the host that issued their ticket.
    pub max_forwards: usize,
    /// Lifetime of a ticket, in seconds.
    pub ticket_life_seconds: u64,
    /// Maximum number of tickets whose outcome is kept in memory; one customer may use a quarter of it.
    pub max_outcomes: usize,
    /// Maximum number of bytes of answers that are kept in memory for replay.
    pub max_outcome_bytes: usize,
}

impl CallerBounds {
    /// Maximum wait for the head of a request, also the idle timeout of a connection.
    pub fn head_timeout(&self) -> Duration {
        Duration::from_millis(self.head_timeout_ms)
    }

    /// Maximum time without a byte of an unfinished request body.
    pub fn body_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.body_idle_ms)
    }

    /// Maximum time in which a caller reads no byte of its answer.
    pub fn answer_idle_timeout(&self) -> Duration {
        Duration::from_millis(self.answer_idle_ms)
    }

    /// Time from issue to expiry of a ticket.
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
