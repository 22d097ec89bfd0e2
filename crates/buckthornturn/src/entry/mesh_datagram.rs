//! Datagrams that entry hosts exchange.

use std::net::SocketAddr;

use coordination::fleet::CrashReport;
use coordination::fleet::FailureReport;
use coordination::fleet::HostHeartbeat;
use coordination::fleet::LeavingReport;
use coordination::fleet::LimitReport;
use coordination::fleet::LivenessDigest;
use coordination::fleet::PauseReport;
use coordination::fleet::TokenGrant;
use coordination::fleet::TrialGrant;
use coordination::ids::CustomerId;
use serde::Deserialize;
use serde::Serialize;
use spdlog::debug;
use spdlog::warn;
use tokio::net::UdpSocket;

/// A datagram between entry hosts, encoded as JSON.
#[derive(Debug, Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MeshDatagram {
    /// State of the sender, and of some hosts that it knows.
    Heartbeat(Box<HeartbeatMessage>),
    /// Request for quota tokens to the customer's keeper.
    TokenAsk {
        /// Request number, which the answer repeats.
        number: u64,
        /// Customer whose tokens are requested.
        customer: CustomerId,
        /// Number of tokens requested.
        tokens: u32,
    },
    /// Answer of the keeper to a token request.
    TokenGrant {
        /// Number of the request that is answered.
        number: u64,
        /// Tokens granted, or why there are none.
        grant: TokenGrant,
    },
    /// Crashes under requests, for their keepers or from them.
    Crashes(Vec<CrashReport>),
    /// Question to the keeper of a request that crashed targets, whether the sender may try it.
    TrialAsk {
        /// Number of the question, which the answer repeats.
        number: u64,
        /// What the sender knows of the request.
        report: CrashReport,
    },
    /// Answer of the keeper to a host that wants to try a request.
    TrialGrant {
        /// Number of the question that is answered.
        number: u64,
        /// Whether the host may send the request.
        grant: TrialGrant,
    },
}

/// Heartbeat of a host, with piggybacked heartbeats of others.
#[derive(Debug, Deserialize, Serialize)]
pub struct HeartbeatMessage {
    /// State of the sender.
    pub own: HostHeartbeat,
    /// State of other hosts as the sender last heard it, without their demand.
    pub others: Vec<HostHeartbeat>,
    /// Other process starts with a recent heartbeat, each in a short form.
    pub seen: Vec<LivenessDigest>,
    /// Targets that failed requests of any host recently.
    #[serde(default)]
    pub failing: Vec<FailureReport>,
    /// Limits that targets stated to any host.
    #[serde(default)]
    pub limits: Vec<LimitReport>,
    /// Targets that said to any host that they leave.
    #[serde(default)]
    pub leaving: Vec<LeavingReport>,
    /// Pauses that targets asked any host for.
    #[serde(default)]
    pub pauses: Vec<PauseReport>,
    /// Requests that crashed several targets, and those that were answered since.
    #[serde(default)]
    pub crashes: Vec<CrashReport>,
    /// Whether the sender asks for a heartbeat in return because it has not joined the fleet yet.
    pub asks: bool,
}

impl HeartbeatMessage {
    /// A heartbeat with the state of the sender alone.
    pub fn without_news(own: HostHeartbeat) -> Self {
        let (others, seen) = (Vec::new(), Vec::new());
        let (failing, limits) = (Vec::new(), Vec::new());
        let (leaving, pauses, crashes) = (Vec::new(), Vec::new(), Vec::new());
        Self { own, others, seen, failing, limits, leaving, pauses, crashes, asks: false }
    }
}

impl MeshDatagram {
    /// Sends the datagram to each receiver. Failures are only logged, since datagrams may be lost anyway.
    pub async fn send(&self, socket: &UdpSocket, receivers: impl IntoIterator<Item = SocketAddr>) {
        let mut receivers = receivers.into_iter().peekable();
        if receivers.peek().is_none() {
            return;
        }
        let bytes = match serde_json::to_vec(self) {
            Ok(bytes) => bytes,
            Err(error) => return warn!("datagram cannot be encoded", kv: { reason: = error }),
        };
        for receiver in receivers {
            if let Err(error) = socket.send_to(&bytes, receiver).await {
                debug!("failed to send a datagram", kv: { receiver:, reason: = error });
            }
        }
    }
}
