//! Asks other hosts for decisions that they make for the fleet: customers' quota tokens, and trials of requests that crashed
//! targets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use coordination::fleet::CrashReport;
use coordination::fleet::TokenGrant;
use coordination::fleet::TrialGrant;
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

/// Answer of a host to a question of this one.
#[derive(Clone, Copy, Debug)]
pub enum MeshAnswer {
    /// Answer to a token request.
    Tokens(TokenGrant),
    /// Answer to a host that wants to try a request.
    Trial(TrialGrant),
}

/// Sends questions to other hosts and matches their answers to the waiting requests.
pub struct MeshClient {
    socket: Arc<UdpSocket>,
    pending: Mutex<IndexMap<u64, oneshot::Sender<MeshAnswer>>>,
    next_number: AtomicU64,
}

/// Guard of a request that waits for its answer; dropping it removes the request from the pending ones.
struct PendingRequest<'a> {
    client: &'a MeshClient,
    number: u64,
}

impl MeshClient {
    /// Creates a client that sends through `socket`. The receiver of that socket must pass answers to
    /// [`receive_answer`](Self::receive_answer).
    pub fn new(socket: Arc<UdpSocket>) -> Self {
        // The first number is random, since an answer to the process before a restart can still arrive.
        let next_number = AtomicU64::new(rand::random());
        Self { socket, pending: Mutex::default(), next_number }
    }

    /// Requests tokens from a customer's keeper. `None` means that no answer came in time or that too many requests are
    /// pending.
    pub async fn request_tokens(
        &self,
        keeper: SocketAddr,
        customer: &CustomerId,
        tokens: u32,
    ) -> Option<TokenGrant> {
        let customer = customer.clone();
        let ask = |number| MeshDatagram::TokenAsk { number, customer, tokens };
        match self.ask(keeper, ask).await? {
            MeshAnswer::Tokens(grant) => Some(grant),
            MeshAnswer::Trial(_) => None,
        }
    }

    /// Asks the keeper of a request whether this host may try it. `None` means that no answer came in time or that too many
    /// requests are pending.
    pub async fn request_trial(
        &self,
        keeper: SocketAddr,
        report: CrashReport,
    ) -> Option<TrialGrant> {
        match self.ask(keeper, |number| MeshDatagram::TrialAsk { number, report }).await? {
            MeshAnswer::Trial(grant) => Some(grant),
            MeshAnswer::Tokens(_) => None,
        }
    }

    /// Sends a question, and repeats it once if it stays unanswered.
    async fn ask(
        &self,
        receiver_host: SocketAddr,
        question: impl FnOnce(u64) -> MeshDatagram,
    ) -> Option<MeshAnswer> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (sender, mut receiver) = oneshot::channel();
        {
            let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
            if pending.len() >= MAX_PENDING_REQUESTS {
                return None;
            }
            pending.insert(number, sender);
        }
        let _pending_request = PendingRequest { client: self, number };
        let datagram = question(number);
        for wait in GRANT_TIMEOUTS {
            datagram.send(&self.socket, [receiver_host]).await;
            if let Ok(answer) = tokio::time::timeout(wait, &mut receiver).await {
                return answer.ok();
            }
        }
        None
    }

    /// Delivers an answer to the question with its number; an answer that comes too late is dropped.
    pub fn receive_answer(&self, number: u64, answer: MeshAnswer) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(sender) = pending.swap_remove(&number) {
            let _ = sender.send(answer);
        }
    }
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        let mut pending = self.client.pending.lock().unwrap_or_else(PoisonError::into_inner);
        pending.swap_remove(&self.number);
    }
}

#[cfg(test)]
#[path = "mesh_client_tests.rs"]
mod tests;
