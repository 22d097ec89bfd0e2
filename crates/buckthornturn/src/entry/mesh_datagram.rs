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
use serde::de::DeserializeOwned;
use spdlog::debug;
use spdlog::warn;
use tokio::net::UdpSocket;

use crate::json_extent::RawMembers;
use crate::json_extent::decode_elements;
use crate::json_extent::decode_member;
use crate::json_extent::find_member;
use crate::json_extent::split_object;

#[cfg(test)]
#[path = "mesh_datagram_tests.rs"]
mod tests;

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

    /// Decodes what can be decoded of a message, and counts the elements that are left out. `None` if the sender's own state
    /// cannot be decoded.
    fn decode_separately(text: &[u8]) -> Option<(Self, u64)> {
        let members = split_object(text)?;
        let mut left_out = 0;
        let mut message = Self::without_news(decode_member(&members, "own")?);
        message.others = decode_list(&members, "others", &mut left_out);
        message.seen = decode_list(&members, "seen", &mut left_out);
        message.failing = decode_list(&members, "failing", &mut left_out);
        message.limits = decode_list(&members, "limits", &mut left_out);
        message.leaving = decode_list(&members, "leaving", &mut left_out);
        message.pauses = decode_list(&members, "pauses", &mut left_out);
        message.crashes = decode_list(&members, "crashes", &mut left_out);
        message.asks = decode_member(&members, "asks")?;
        Some((message, left_out))
    }
}

/// Elements of a list that can be decoded; the others are counted. A list that is none counts as one.
fn decode_list<T: DeserializeOwned>(
    members: &RawMembers<'_>,
    key: &str,
    left_out: &mut u64,
) -> Vec<T> {
    let Some(text) = find_member(members, key) else { return Vec::new() };
    let (elements, unreadable) = decode_elements(text).unwrap_or_else(|| (Vec::new(), 1));
    *left_out += unreadable;
    elements
}

impl MeshDatagram {
    /// Decodes a datagram. If a part of it cannot be decoded, the elements of its lists are decoded separately and those that
    /// cannot be are left out; their number is returned.
    ///
    /// # Errors
    ///
    /// Returns the reason if no element can be told apart, or the sender's own state cannot be decoded.
    pub fn decode(bytes: &[u8]) -> Result<(Self, u64), Box<str>> {
        let error = match serde_json::from_slice(bytes) {
            Ok(datagram) => return Ok((datagram, 0)),
            Err(error) => error,
        };
        let members = split_object(bytes).unwrap_or_default();
        let heartbeat =
            find_member(&members, "heartbeat").and_then(HeartbeatMessage::decode_separately);
        let crashes = || find_member(&members, "crashes").and_then(decode_elements);
        match heartbeat {
            Some((message, left_out)) => Ok((Self::Heartbeat(Box::new(message)), left_out)),
            None => match crashes() {
                Some((reports, left_out)) => Ok((Self::Crashes(reports), left_out)),
                None => Err(error.to_string().into()),
            },
        }
    }

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
