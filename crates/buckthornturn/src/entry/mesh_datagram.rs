//! What hosts send each other in datagrams.

use std::net::SocketAddr;

use coordination::fleet::HostHeartbeat;
use coordination::fleet::LivenessDigest;
use coordination::fleet::TokenGrant;
use coordination::ids::CustomerId;
use serde::Deserialize;
use serde::Serialize;
use spdlog::debug;
use spdlog::warn;
use tokio::net::UdpSocket;

/// A datagram between hosts.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MeshDatagram {
    /// News of a host.
    Heartbeat(Box<HeartbeatNews>),
    /// A host asks the keeper of a customer's tokens for some.
    TokenAsk {
        /// Number that the answer repeats.
        number: u64,
        /// Customer.
        customer: CustomerId,
        /// Tokens wanted.
        tokens: u32,
    },
    /// The answer.
    TokenGrant {
        /// Number of the question.
        number: u64,
        /// What is granted.
        grant: TokenGrant,
    },
}

/// News of a host and of some others.
#[derive(Debug, Deserialize, Serialize)]
pub struct HeartbeatNews {
    /// News of the sender.
    pub own: HostHeartbeat,
    /// News of others that the sender heard.
    pub others: Vec<HostHeartbeat>,
    /// Other process starts that the sender heard of lately.
    pub seen: Vec<LivenessDigest>,
    /// Whether the sender asks for an answer, as it knows few hosts yet.
    pub asks: bool,
}

impl MeshDatagram {
    /// Sends it to each receiver. A datagram may be lost, so that a failure is only logged.
    pub async fn send(&self, socket: &UdpSocket, receivers: impl IntoIterator<Item = SocketAddr>) {
        let mut receivers = receivers.into_iter().peekable();
        if receivers.peek().is_none() {
            return;
        }
        let bytes = match serde_json::to_vec(self) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("datagram not written", kv: { reason: = error }),
        };
        for receiver in receivers {
            if let Err(error) = socket.send_to(&bytes, receiver).await {
                debug!("datagram not sent", kv: { receiver:, reason: = error });
            }
        }
    }
}
