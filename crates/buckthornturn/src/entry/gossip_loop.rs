//! Exchanges datagrams with other hosts: gossiped heartbeats, questions to keepers, and reports of crashes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::INTRODUCED_HOSTS;
use indexmap::IndexSet;
use rand::RngExt;
use rand::seq::IndexedRandom;
use spdlog::info;
use spdlog::warn;
use tokio::net::UdpSocket;

use crate::entry::CrashReporter;
use crate::entry::EntryState;
use crate::entry::MeshAnswer;
use crate::entry::MeshClient;
use crate::entry::attempt_guard::log_leaving;
use crate::entry::attempt_guard::log_limit_change;
use crate::entry::mesh_datagram::HeartbeatMessage;
use crate::entry::mesh_datagram::MeshDatagram;

/// Interval of the periodic work of [`EntryState::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks per heartbeat, so that several heartbeats fit in the time for which a host stays listed.
const TICKS_PER_HEARTBEAT: u64 = 2;
/// One in this many heartbeats goes to a seed as well, so that parts of a fleet that started apart find each other.
const SEED_HEARTBEAT_DIVISOR: u32 = 8;
/// Number of other hosts whose heartbeats are piggybacked on the own one.
const MAX_PIGGYBACKED_HOSTS: usize = 3;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Value of the metrics' label `part` for messages of other hosts.
const DATAGRAMS_LABEL: &str = "datagrams";

/// Runs the periodic work of the host, and sends and receives datagrams on the mesh socket.
pub struct GossipLoop {
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
    client: Arc<MeshClient>,
    reporter: Arc<CrashReporter>,
    seeds: Vec<SocketAddr>,
}

impl GossipLoop {
    /// Creates a loop on the mesh socket. `seeds` are mesh addresses of hosts that are contacted before others are known.
    pub fn new(
        state: Arc<EntryState>,
        socket: Arc<UdpSocket>,
        client: Arc<MeshClient>,
        reporter: Arc<CrashReporter>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self { state, socket, client, reporter, seeds }
    }

    /// Runs until the future is dropped.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut tick = 0_u64;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.state.tick();
                    let store_news_receivers = self.state.store_news_receivers();
                    let is_due = tick.is_multiple_of(TICKS_PER_HEARTBEAT)
                        || !self.state.has_joined()
                        || !store_news_receivers.is_empty();
                    if is_due {
                        self.send_heartbeats(store_news_receivers).await;
                    }
                    tick += 1;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.handle_datagram(&buffer[..length], sender).await,
                    Err(error) => warn!("failed to receive a datagram", kv: { reason: = error }),
                },
            }
        }
    }

    async fn send_heartbeats(&self, store_news_receivers: Vec<SocketAddr>) {
        self.state.begin_heartbeat();
        let own = self.state.identity().mesh_address;
        let mut receivers: IndexSet<SocketAddr> = store_news_receivers.into_iter().collect();
        let remote_keepers = {
            let core = self.state.lock();
            let identity = self.state.identity();
            receivers.extend(core.roster.draw_receivers(
                &identity.failure_domain,
                &identity.region,
                &mut rand::rng(),
            ));
            match core.keepers.is_keeper(&self.state.identity().host) {
                true => core.keepers.remote_addresses().to_vec(),
                false => Vec::new(),
            }
        };
        let has_joined = self.state.has_joined();
        let seeds = self.seeds.iter().filter(|seed| **seed != own).copied().collect::<Vec<_>>();
        match has_joined {
            true if rand::rng().random_ratio(1, SEED_HEARTBEAT_DIVISOR) => {
                receivers.extend(seeds.choose(&mut rand::rng()));
            }
            true => {}
            false => receivers.extend(seeds),
        }
        let message = self.heartbeat(MAX_PIGGYBACKED_HOSTS, !has_joined);
        message.send(&self.socket, receivers.iter().copied()).await;
        // Keepers divide the limits between regions by each other's demand, so every heartbeat goes to all remote keepers.
        let remote_keepers =
            remote_keepers.into_iter().filter(|keeper| !receivers.contains(keeper));
        let own = self.state.own_heartbeat();
        let message = HeartbeatMessage::without_news(own);
        MeshDatagram::Heartbeat(Box::new(message)).send(&self.socket, remote_keepers).await;
    }

    fn heartbeat(&self, max_others: usize, asks: bool) -> MeshDatagram {
        let own = self.state.own_heartbeat();
        let now = Instant::now();
        let core = self.state.lock();
        let others = core.roster.sample_heartbeats(max_others, now, &mut rand::rng());
        let seen =
            core.roster.sample_liveness(&self.state.identity().region, now, &mut rand::rng());
        // A host without links to targets cannot tell which of them fail.
        let failing = match core.reach.is_lost() {
            true => Vec::new(),
            false => core.board.failure_reports(now),
        };
        let limits = core.board.limit_reports(now);
        let leaving = core.board.leaving_reports();
        let pauses = core.board.pause_reports(now);
        let crashes = core.crashes.reports(now);
        MeshDatagram::Heartbeat(Box::new(HeartbeatMessage {
            own,
            others,
            seen,
            failing,
            limits,
            leaving,
            pauses,
            crashes,
            asks,
        }))
    }

    async fn handle_datagram(&self, bytes: &[u8], sender: SocketAddr) {
        let (datagram, left_out) = match MeshDatagram::decode(bytes) {
            Ok(decoded) => decoded,
            Err(reason) => {
                self.state.metrics().count_unreadable(DATAGRAMS_LABEL, 1);
                return warn!("received a datagram that cannot be decoded", kv: { sender:, reason: });
            }
        };
        self.state.metrics().count_unreadable(DATAGRAMS_LABEL, left_out);
        let subject = format!("datagram of {sender}");
        if left_out > 0 && self.state.lock().warnings.take(&subject, Instant::now()) {
            warn!("parts of a datagram cannot be decoded", kv: { sender:, count: = left_out });
        }
        match datagram {
            MeshDatagram::Heartbeat(news) => self.handle_heartbeat(*news).await,
            MeshDatagram::TokenAsk { number, customer, tokens } => {
                let now = self.state.token_time();
                let grant = self.state.lock().quotas.grant_tokens(&customer, tokens, now);
                MeshDatagram::TokenGrant { number, grant }.send(&self.socket, [sender]).await;
            }
            MeshDatagram::TokenGrant { number, grant } => {
                self.client.receive_answer(number, MeshAnswer::Tokens(grant))
            }
            MeshDatagram::Crashes(reports) => self.reporter.receive_reports(&reports).await,
            MeshDatagram::TrialAsk { number, report } => {
                self.reporter.answer_trial(number, report, sender).await;
            }
            MeshDatagram::TrialGrant { number, grant } => {
                self.client.receive_answer(number, MeshAnswer::Trial(grant))
            }
        }
    }

    async fn handle_heartbeat(&self, message: HeartbeatMessage) {
        let (now, own) = (Instant::now(), &self.state.identity().host);
        if message.own.host == *own {
            return;
        }
        let (receiver, asks) = (message.own.mesh, message.asks);
        let store_seen = message.own.store_seen;
        let is_new_host = {
            let mut core = self.state.lock();
            let is_known =
                core.roster.knows_incarnation(&message.own.host, message.own.incarnation);
            if !is_known {
                info!("host joined", kv: {
                    host: = message.own.host,
                    failure_domain: = message.own.failure_domain,
                    incarnation = message.own.incarnation
                });
            }
            core.roster.record_heartbeat(message.own, true, now);
            for news in message.others.into_iter().filter(|news| news.host != *own) {
                core.roster.record_heartbeat(news, false, now);
            }
            if let Some(report) = store_seen {
                core.merge_sighting(report, now);
            }
            core.board.merge_failure_reports(&message.failing, now);
            for (report, change) in core.board.merge_limit_reports(&message.limits, now) {
                log_limit_change(&report.target, report.rate, change);
            }
            for report in core.board.merge_leaving_reports(&message.leaving, now) {
                log_leaving(&report.target);
            }
            core.board.merge_pause_reports(&message.pauses, now);
            for sign in message.seen {
                core.roster.record_liveness(sign, now);
            }
            !is_known
        };
        self.reporter.receive_reports(&message.crashes).await;
        if is_new_host || asks {
            let max_others = if asks { INTRODUCED_HOSTS } else { MAX_PIGGYBACKED_HOSTS };
            self.heartbeat(max_others, false).send(&self.socket, [receiver]).await;
        }
    }
}
