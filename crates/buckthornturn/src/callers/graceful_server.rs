//! Server for callers with a graceful shutdown.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::HostId;
use spdlog::info;
use spdlog::warn;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_rustls::TlsAcceptor;
use tokio_util::task::AbortOnDropHandle;

use crate::callers::CallerService;
use crate::callers::ConnectionServer;
use crate::callers::ServerPhase;
use crate::callers::outcome_keepers;
use crate::interface::OutcomeEntry;
use crate::interface::PeerCaller;
use crate::interface::PeerRequest;
use crate::settings::CallerBounds;

/// Time during which the host still accepts connections after it announced its shutdown, so that callers learn from
/// look-ups to use other hosts; at most a third of the time limit of the shutdown.
const STEERING_NOTICE_TIME: Duration = Duration::from_secs(6);
const STEERING_NOTICE_DIVISOR: u32 = 3;
const HAND_OVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest number of outcomes in one message to a peer.
const OUTCOMES_PER_MESSAGE: usize = 32;

/// Runs the callers' listener and shuts it down gracefully.
pub struct GracefulServer {
    phase: watch::Sender<ServerPhase>,
    server: AbortOnDropHandle<()>,
    service: Arc<CallerService>,
    peers: Arc<dyn PeerCaller>,
    host: HostId,
}

impl GracefulServer {
    /// Starts to serve callers in a background task, which is aborted when the server is dropped.
    pub fn start(
        listener: TcpListener,
        service: Arc<CallerService>,
        peers: Arc<dyn PeerCaller>,
        host: HostId,
        bounds: CallerBounds,
        tls: Option<TlsAcceptor>,
    ) -> Self {
        let phase = watch::Sender::new(ServerPhase::Serving);
        let server = ConnectionServer::new(listener, bounds, phase.subscribe()).with_tls(tls);
        let handler = Arc::clone(&service);
        let serving = server.run(move |request, peer| {
            let service = Arc::clone(&handler);
            async move { service.serve(request, peer).await }
        });
        Self { phase, server: AbortOnDropHandle::new(tokio::spawn(serving)), service, peers, host }
    }

    /// Watches the phase of the server, which is `Serving` until `shut_down` is called.
    pub fn phase(&self) -> watch::Receiver<ServerPhase> {
        self.phase.subscribe()
    }

    /// Shuts down in this order: announces to look-ups that the host leaves, stops accepting connections, finishes
    /// the running requests, and hands the ticket outcomes over to other hosts. Returns whether all running requests
    /// finished within `limit`.
    pub async fn shut_down(self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        self.phase.send_replace(ServerPhase::Leaving);
        info!("host leaves", kv: { host: = self.host, limit_ms = limit.as_millis() as u64 });
        tokio::time::sleep(STEERING_NOTICE_TIME.min(limit / STEERING_NOTICE_DIVISOR)).await;
        self.phase.send_replace(ServerPhase::Closing);
        let is_finished = tokio::time::timeout_at(deadline.into(), self.server).await.is_ok();
        if !is_finished {
            let running = self.service.active().count() as u64;
            warn!("requests cut at the end of the shutdown", kv: { running: });
        }
        hand_over_outcomes(&self.service, &*self.peers, &self.host).await;
        is_finished
    }
}

async fn hand_over_outcomes(service: &CallerService, peers: &dyn PeerCaller, host: &str) {
    let entries = service.tickets().export_outcomes();
    if entries.is_empty() {
        return;
    }
    for (keeper, _) in outcome_keepers(&peers.members(), host, host) {
        let is_kept = send_outcomes(peers, &keeper, &entries).await;
        info!("outcomes handed over", kv: { keeper:, count = entries.len() as u64, is_kept: });
    }
}

async fn send_outcomes(peers: &dyn PeerCaller, keeper: &str, entries: &[OutcomeEntry]) -> bool {
    for chunk in entries.chunks(OUTCOMES_PER_MESSAGE) {
        let request = PeerRequest::KeepOutcomes { outcomes: chunk.to_vec() };
        if peers.call(keeper, request, HAND_OVER_TIMEOUT).await.is_err() {
            return false;
        }
    }
    true
}
