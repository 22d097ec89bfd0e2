//! Asks the keepers of customers' tokens for some.

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

/// Waits for a keeper, one after each time that it is asked: the round trip within a region takes 2 ms, a host whose processor
/// share is used up stands still for the rest of a tenth of a second, and a datagram may be lost.
const GRANT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];
/// Most questions that wait for an answer; bounds memory while no keeper answers.
const MAX_PENDING_REQUESTS: usize = 1_024;

/// Asks the keepers of customers' tokens for some.
pub struct TokenClient {
    socket: Arc<UdpSocket>,
    pending: Mutex<IndexMap<u64, oneshot::Sender<TokenGrant>>>,
    next_number: AtomicU64,
}

/// A question that waits for its answer. Dropped, it waits no more.
struct PendingRequest<'a> {
    token_client: &'a TokenClient,
    number: u64,
}

impl TokenClient {
    /// A desk that asks through a socket whose receiver calls `answered`.
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        Self { socket, pending: Mutex::default(), next_number: AtomicU64::default() }
    }

    /// Asks a keeper, a second time if it stays silent; `None` if no answer comes in time.
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

    /// Takes an answer; one that nobody waits for any more is dropped.
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
