//! Counts of messages and bytes between hosts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::mesh::RequestKind;

/// Counts of one kind of request, replies included.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindCount {
    /// Requests sent.
    pub sent: u64,
    /// Requests received.
    pub received: u64,
    /// Bytes of requests sent and replies given.
    pub bytes_out: u64,
    /// Bytes of requests received and replies got.
    pub bytes_in: u64,
}

#[derive(Debug, Default)]
struct KindCounter {
    sent: AtomicU64,
    received: AtomicU64,
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
}

/// Counts of messages and bytes between hosts, in all and by kind.
#[derive(Debug, Default)]
pub struct MeshCounters {
    kinds: [KindCounter; RequestKind::ALL.len()],
    wire_bytes_in: AtomicU64,
    wire_bytes_out: AtomicU64,
    dropped_connections: AtomicU64,
}

impl MeshCounters {
    /// Counts of one kind.
    pub fn kind_count(&self, kind: RequestKind) -> KindCount {
        let counter = &self.kinds[kind as usize];
        KindCount {
            sent: counter.sent.load(Ordering::Relaxed),
            received: counter.received.load(Ordering::Relaxed),
            bytes_out: counter.bytes_out.load(Ordering::Relaxed),
            bytes_in: counter.bytes_in.load(Ordering::Relaxed),
        }
    }

    /// Bytes received and sent on connections, framing included.
    pub fn wire_bytes(&self) -> (u64, u64) {
        (self.wire_bytes_in.load(Ordering::Relaxed), self.wire_bytes_out.load(Ordering::Relaxed))
    }

    /// Connections dropped because the peer was slow, over a bound or not understood.
    pub fn dropped_connections(&self) -> u64 {
        self.dropped_connections.load(Ordering::Relaxed)
    }

    pub(crate) fn record_request_sent(&self, kind: RequestKind, bytes: u64) {
        let counter = &self.kinds[kind as usize];
        counter.sent.fetch_add(1, Ordering::Relaxed);
        counter.bytes_out.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_request_received(&self, kind: RequestKind, bytes: u64) {
        let counter = &self.kinds[kind as usize];
        counter.received.fetch_add(1, Ordering::Relaxed);
        counter.bytes_in.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_reply_sent(&self, kind: RequestKind, bytes: u64) {
        self.kinds[kind as usize].bytes_out.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_reply_received(&self, kind: RequestKind, bytes: u64) {
        self.kinds[kind as usize].bytes_in.fetch_add(bytes, Ordering::Relaxed);
    }

    pub(crate) fn record_bytes_read(&self, bytes: usize) {
        self.wire_bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_bytes_written(&self, bytes: usize) {
        self.wire_bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn record_dropped_connection(&self) {
        self.dropped_connections.fetch_add(1, Ordering::Relaxed);
    }
}
