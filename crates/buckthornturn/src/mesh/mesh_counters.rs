//! Counters of messages and bytes between hosts.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::mesh::RequestKind;

/// Counts of one kind of request and its replies since the start of the mesh thread.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct KindCount {
    /// Requests that this host sent, whether or not they were answered.
    pub sent: u64,
    /// Requests that this host received and could decode.
    pub received: u64,
    /// Bytes of the requests sent and of the replies sent, without framing.
    pub bytes_out: u64,
    /// Bytes of the requests received and of the replies received, without framing.
    pub bytes_in: u64,
}

#[derive(Debug, Default)]
struct KindCounter {
    sent: AtomicU64,
    received: AtomicU64,
    bytes_out: AtomicU64,
    bytes_in: AtomicU64,
}

/// Counters of messages and bytes between hosts, in total and by kind of request.
#[derive(Debug, Default)]
pub struct MeshCounters {
    kinds: [KindCounter; RequestKind::ALL.len()],
    wire_bytes_in: AtomicU64,
    wire_bytes_out: AtomicU64,
    dropped_connections: AtomicU64,
}

impl MeshCounters {
    /// Counts of one kind of request.
    pub fn kind_count(&self, kind: RequestKind) -> KindCount {
        let counter = &self.kinds[kind as usize];
        KindCount {
            sent: counter.sent.load(Ordering::Relaxed),
            received: counter.received.load(Ordering::Relaxed),
            bytes_out: counter.bytes_out.load(Ordering::Relaxed),
            bytes_in: counter.bytes_in.load(Ordering::Relaxed),
        }
    }

    /// Bytes received and bytes sent on all connections, framing included, in this order.
    pub fn wire_bytes(&self) -> (u64, u64) {
        (self.wire_bytes_in.load(Ordering::Relaxed), self.wire_bytes_out.load(Ordering::Relaxed))
    }

    /// Connections dropped because the peer was too slow, exceeded a limit or sent malformed data.
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
