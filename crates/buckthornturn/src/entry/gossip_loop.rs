//! Exchanges datagrams with other hosts: gossiped heartbeats, and requests for customers' quota tokens.

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
use crate::entry::TokenClient;
use crate::entry::mesh_datagram::HeartbeatMessage;
use crate::entry::mesh_datagram::MeshDatagram;

/// Interval of the periodic work of [`EntryState::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Ticks per heartbeat, so that several heartbeats fit in the time for which a host stays listed.
const TICKS_PER_HEARTBEAT: u64 = 2;
/// Number of known hosts that receive each heartbeat, drawn at random.
const HEARTBEAT_FANOUT: usize = 6;
/// Number of other hosts whose heartbeats are piggybacked on the own one.
const MAX_PIGGYBACKED_HOSTS: usize = 3;
/// Number of piggybacked hosts in the answer to a host that has just started and knows few others.
const MAX_INTRODUCED_HOSTS: usize = 16;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// Runs the periodic work of the host, and sends and receives datagrams on the mesh socket.
pub struct GossipLoop {
    state: Arc<EntryState>,
    socket: Arc<UdpSocket>,
    token_client: Arc<TokenClient>,
    seeds: Vec<SocketAddr>,
}

impl GossipLoop {
    /// Creates a loop on the mesh socket. `seeds` are mesh addresses of hosts that are contacted before others are known.
    pub fn new(
        state: Arc<EntryState>,
        socket: Arc<UdpSocket>,
        token_client: Arc<TokenClient>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        Self { state, socket, token_client, seeds }
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
                    if tick.is_multiple_of(TICKS_PER_HEARTBEAT) || !self.state.has_joined() {
                        self.send_heartbeats().await;
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

    async fn send_heartbeats(&self) {
        self.state.begin_heartbeat();
        let own = self.state.identity().mesh_address;
        let mut receivers: IndexSet<SocketAddr> = IndexSet::new();
        let remote_keepers = {
            let core = self.state.lock();
            let known: Vec<SocketAddr> = core.roster.known_hosts().map(|news| news.mesh).collect();
            receivers.extend(known.sample(&mut rand::rng(), HEARTBEAT_FANOUT));
            match core.keepers.is_keeper(&self.state.identity().host) {
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
        let message = self.heartbeat(MAX_PIGGYBACKED_HOSTS, !has_joined);
        message.send(&self.socket, receivers.iter().copied()).await;
        // Keepers divide the limits between regions by each other's demand, so every heartbeat goes to all remote keepers.
        let remote_keepers =
            remote_keepers.into_iter().filter(|keeper| !receivers.contains(keeper));
        let (own, others, seen) = (self.state.own_heartbeat(), Vec::new(), Vec::new());
        let message = HeartbeatMessage { own, others, seen, asks: false };
        MeshDatagram::Heartbeat(Box::new(message)).send(&self.socket, remote_keepers).await;
    }

    fn heartbeat(&self, max_others: usize, asks: bool) -> MeshDatagram {
        let own = self.state.own_heartbeat();
        let now = Instant::now();
        let core = self.state.lock();
        let mut others = core.roster.sample_heartbeats(max_others, now, &mut rand::rng());
        // Customers' demand is the bulk of a heartbeat, so a host sends only its own.
        others.iter_mut().for_each(|news| news.demand.clear());
        let seen = core.roster.sample_liveness(now, &mut rand::rng());
        MeshDatagram::Heartbeat(Box::new(HeartbeatMessage { own, others, seen, asks }))
    }

    async fn handle_datagram(&self, bytes: &[u8], sender: SocketAddr) {
        match serde_json::from_slice(bytes) {
            Ok(MeshDatagram::Heartbeat(news)) => self.handle_heartbeat(*news).await,
            Ok(MeshDatagram::TokenAsk { number, customer, tokens }) => {
                let now = self.state.token_time();
                let grant = self.state.lock().quotas.grant_tokens(&customer, tokens, now);
                MeshDatagram::TokenGrant { number, grant }.send(&self.socket, [sender]).await;
            }
            Ok(MeshDatagram::TokenGrant { number, grant }) => {
                self.token_client.receive_grant(number, grant)
            }
            Err(error) => {
                warn!("received a datagram that cannot be decoded", kv: { sender:, reason: = error })
            }
        }
    }

    async fn handle_heartbeat(&self, message: HeartbeatMessage) {
        let (now, own) = (Instant::now(), &self.state.identity().host);
        if message.own.host == *own {
            return;
        }
        let (receiver, asks) = (message.own.mesh, message.asks);
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
            for sign in message.seen {
                core.roster.record_liveness(sign, now);
            }
            !is_known
        };
        if is_new_host || asks {
            let max_others = if asks { MAX_INTRODUCED_HOSTS } else { MAX_PIGGYBACKED_HOSTS };
            self.heartbeat(max_others, false).send(&self.socket, [receiver]).await;
        }
    }
}
