//! Heartbeats between hosts in datagrams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::fleet::HostNews;
use indexmap::IndexSet;
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde::Serialize;
use spdlog::info;
use spdlog::warn;
use tokio::net::UdpSocket;

use crate::entry::EntryState;

/// Pause between checks of what time brings.
const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Checks from one heartbeat to the next: several heartbeats fit in the time for which a host is listed.
const TICKS_PER_BEAT: u64 = 2;
/// Hosts that each heartbeat goes to.
const FAN_OUT: usize = 6;
/// Other hosts whose news ride on a heartbeat.
const MAX_RIDERS: usize = 4;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A datagram between hosts.
#[derive(Debug, Deserialize, Serialize)]
struct GossipMessage {
    /// News of the sender.
    own: HostNews,
    /// News of others that the sender heard.
    others: Vec<HostNews>,
    /// Whether the sender asks for an answer, as it does not know the receiver yet.
    asks: bool,
}

/// Sends and takes heartbeats.
pub struct GossipLoop {
    state: Arc<EntryState>,
    socket: UdpSocket,
    seeds: Vec<SocketAddr>,
}

impl GossipLoop {
    /// A loop on a socket. `seeds` are mesh addresses of some hosts.
    pub fn new(state: Arc<EntryState>, socket: UdpSocket, seeds: Vec<SocketAddr>) -> Self {
        Self { state, socket, seeds }
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
                    if tick.is_multiple_of(TICKS_PER_BEAT) {
                        self.beat().await;
                    }
                    tick += 1;
                }
                received = self.socket.recv_from(&mut buffer) => match received {
                    Ok((length, sender)) => self.take(&buffer[..length], sender).await,
                    Err(error) => warn!("heartbeat not received", kv: { reason: = error }),
                },
            }
        }
    }

    async fn beat(&self) {
        let own = self.state.own().mesh;
        let mut receivers: IndexSet<SocketAddr> = IndexSet::new();
        {
            let core = self.state.lock();
            let known: Vec<SocketAddr> = core.roster.counted().map(|news| news.mesh).collect();
            receivers.extend(known.sample(&mut rand::rng(), FAN_OUT));
        }
        let stranger = self.seeds.iter().filter(|seed| **seed != own).collect::<Vec<_>>();
        receivers.extend(stranger.choose(&mut rand::rng()).map(|seed| **seed));
        if receivers.is_empty() {
            return;
        }
        let message = self.message(receivers.len() < FAN_OUT);
        for receiver in receivers {
            self.send(&message, receiver).await;
        }
    }

    fn message(&self, asks: bool) -> GossipMessage {
        let own = self.state.news();
        let mut others = self.state.lock().roster.sample(MAX_RIDERS, &mut rand::rng());
        // The demand of many customers is the bulk of a heartbeat; it goes out with the host's own only.
        others.iter_mut().for_each(|news| news.demand.clear());
        GossipMessage { own, others, asks }
    }

    async fn send(&self, message: &GossipMessage, receiver: SocketAddr) {
        let bytes = match serde_json::to_vec(message) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("heartbeat not written", kv: { reason: = error }),
        };
        if let Err(error) = self.socket.send_to(&bytes, receiver).await {
            spdlog::debug!("heartbeat not sent", kv: { receiver:, reason: = error });
        }
    }

    async fn take(&self, bytes: &[u8], sender: SocketAddr) {
        let message: GossipMessage = match serde_json::from_slice(bytes) {
            Ok(message) => message,
            Err(error) => {
                return warn!("heartbeat not understood", kv: { sender:, reason: = error });
            }
        };
        let (now, own) = (Instant::now(), &self.state.own().host);
        if message.own.host == *own {
            return;
        }
        let (receiver, asks) = (message.own.mesh, message.asks);
        let is_stranger = {
            let mut core = self.state.lock();
            let is_known = core.roster.knows(&message.own.host, message.own.incarnation);
            if !is_known {
                info!("host joined", kv: {
                    host: = message.own.host,
                    failure_domain: = message.own.failure_domain,
                    incarnation = message.own.incarnation
                });
            }
            core.roster.hear(message.own, true, now);
            for news in message.others.into_iter().filter(|news| news.host != *own) {
                core.roster.hear(news, false, now);
            }
            !is_known
        };
        if is_stranger || asks {
            self.send(&self.message(false), receiver).await;
        }
    }
}
