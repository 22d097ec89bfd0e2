//! Datagrams between hosts: heartbeats, and questions for customers' tokens.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use spdlog::info;
use spdlog::warn;
use tokio::net::UdpSocket;

use crate::entry::EntryState;
use crate::entry::TokenDesk;
use crate::entry::mesh_datagram::HeartbeatNews;
use crate::entry::mesh_datagram::MeshDatagram;

/// Pause between checks of what time brings.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks from one heartbeat to the next: several heartbeats fit in the time for which a host is listed.
const TICKS_PER_BEAT: u64 = 2;
/// Hosts that each heartbeat goes to.
const FAN_OUT: usize = 6;
/// Other hosts whose news ride on a heartbeat.
const MAX_RIDERS: usize = 3;
/// The same in the answer to a host that has just started and knows few.
const MAX_INTRODUCED: usize = 16;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Sends and takes heartbeats.
pub struct GossipLoop {
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
    desk: Arc<TokenDesk>,
    seeds: Vec<SocketAddr>,
}

impl GossipLoop {
    /// A loop on a socket. `seeds` are mesh addresses of some hosts.
    pub fn new(
        state: Arc<EntryState>,
        socket: Arc<UdpSocket>,
        desk: Arc<TokenDesk>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self { state, socket, desk, seeds }
    }

    /// Runs until dropped.
    pub async fn run(self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut tick = 0_u64;
        loop {
            tokio::select! {
                _ = ticks.tick() => {
                    self.state.tick();
                    if tick.is_multiple_of(TICKS_PER_BEAT) || !self.state.has_joined() {
                        self.beat().await;
                    }
                    tick += 1;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.take(&buffer[..length], sender).await,
                    Err(error) => warn!("datagram not received", kv: { reason: = error }),
                },
            }
        }
    }

    async fn beat(&self) {
        self.state.beat();
        let own = self.state.own().mesh;
        let mut receivers: IndexSet<SocketAddr> = IndexSet::new();
        let far = {
            let core = self.state.lock();
            let known: Vec<SocketAddr> = core.roster.known_hosts().map(|news| news.mesh).collect();
            receivers.extend(known.sample(&mut rand::rng(), FAN_OUT));
            match core.keepers.is_keeper(&self.state.own().host) {
                true => core.keepers.remote_addresses().to_vec(),
                false => Vec::new(),
            }
        };
        let has_joined = self.state.has_joined();
        let seeds = self.seeds.iter().filter(|seed| **seed != own).copied().collect::<Vec<_>>();
        match has_joined {
            true => receivers.extend(seeds.choose(&mut rand::rng())),
            false => receivers.extend(seeds),
        }
        let message = self.message(MAX_RIDERS, !has_joined);
        message.send(&self.socket, receivers.iter().copied()).await;
        // Keepers share out the limits over the regions by each other's demand, so they hear each other each time.
        let far = far.into_iter().filter(|keeper| !receivers.contains(keeper));
        let (own, others, seen) = (self.state.news(), Vec::new(), Vec::new());
        let message = HeartbeatNews { own, others, seen, asks: false };
        MeshDatagram::Heartbeat(Box::new(message)).send(&self.socket, far).await;
    }

    fn message(&self, riders: usize, asks: bool) -> MeshDatagram {
        let own = self.state.news();
        let now = Instant::now();
        let core = self.state.lock();
        let mut others = core.roster.sample_heartbeats(riders, now, &mut rand::rng());
        // The demand of customers is the bulk of a heartbeat; it goes out with the host's own only.
        others.iter_mut().for_each(|news| news.demand.clear());
        let seen = core.roster.sample_liveness(now, &mut rand::rng());
        MeshDatagram::Heartbeat(Box::new(HeartbeatNews { own, others, seen, asks }))
    }

    async fn take(&self, bytes: &[u8], sender: SocketAddr) {
        match serde_json::from_slice(bytes) {
            Ok(MeshDatagram::Heartbeat(news)) => self.take_news(*news).await,
            Ok(MeshDatagram::TokenAsk { number, customer, tokens }) => {
                let now = self.state.token_time();
                let grant = self.state.lock().quotas.grant_tokens(&customer, tokens, now);
                MeshDatagram::TokenGrant { number, grant }.send(&self.socket, [sender]).await;
            }
            Ok(MeshDatagram::TokenGrant { number, grant }) => self.desk.answered(number, grant),
            Err(error) => warn!("datagram not understood", kv: { sender:, reason: = error }),
        }
    }

    async fn take_news(&self, message: HeartbeatNews) {
        let (now, own) = (Instant::now(), &self.state.own().host);
        if message.own.host == *own {
            return;
        }
        let (receiver, asks) = (message.own.mesh, message.asks);
        let is_stranger = {
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
            for sign in message.seen {
                core.roster.record_liveness(sign, now);
            }
            !is_known
        };
        if is_stranger || asks {
            let riders = if asks { MAX_INTRODUCED } else { MAX_RIDERS };
            self.message(riders, false).send(&self.socket, [receiver]).await;
        }
    }
}
