//! Requests customers' quota tokens from their keepers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::fleet::TokenGrant;
use coordination::ids::CustomerId;
use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

use crate::entry::mesh_datagram::MeshDatagram;

/// Timeouts of the first and the second datagram of a request. The round trip within a region takes 2 ms, a host that
/// used up its processor share is paused for the rest of a 100 ms period, and a datagram may be lost.
const GRANT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];
/// Largest number of requests waiting for an answer, which bounds memory while no keeper answers.
const MAX_PENDING_REQUESTS: usize = 1_024;

/// Sends token requests to keepers and matches their answers to the waiting callers.
pub struct TokenClient {
    socket: Arc<UdpSocket>,
    pending: Mutex<IndexMap<u64, oneshot::Sender<TokenGrant>>>,
    next_number: AtomicU64,
}

/// Guard of a request that waits for its answer; dropping it removes the request from the pending ones.
struct PendingRequest<'a> {
    token_client: &'a TokenClient,
    number: u64,
}

impl TokenClient {
    /// Creates a client that sends through `socket`. The receiver of that socket must pass answers to
    /// [`receive_grant`](Self::receive_grant).
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket, pending: Mutex::default(), next_number: AtomicU64::default() }
    }

    /// Requests tokens from a keeper, and repeats the request once if it stays unanswered. `None` means that no answer
    /// came in time or that too many requests are pending.
    pub async fn request_tokens(
        &self,
        keeper: SocketAddr,
        customer: &CustomerId,
        tokens: u32,
    ) -> Option<TokenGrant> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = oneshot::channel();
        {
            let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
            if pending.len() >= MAX_PENDING_REQUESTS {
                return None;
            }
            pending.insert(number, sender);
        }
        let _pending_request = PendingRequest { token_client: self, number };
        let datagram = MeshDatagram::TokenAsk { number, customer: customer.clone(), tokens };
        for wait in GRANT_TIMEOUTS {
            datagram.send(&self.socket, [keeper]).await;
            if let Ok(grant) = tokio::time::timeout(wait, &mut receiver).await {
                return grant.ok();
            }
        }
        None
    }

    /// Delivers a keeper's answer to the request with its number; an answer that comes too late is dropped.
    pub fn receive_grant(&self, number: u64, grant: TokenGrant) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = pending.swap_remove(&number) {
            let _ = sender.send(grant);
        }
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let mut pending = self.token_client.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.swap_remove(&self.number);
    }
}
