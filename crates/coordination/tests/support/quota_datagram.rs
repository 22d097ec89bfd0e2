//! Datagrams between the hosts of the quota model.

use coordination::fleet::HostHeartbeat;
use coordination::fleet::LivenessDigest;
use coordination::fleet::TokenGrant;

/// Message of one host to another.
pub enum Datagram {
    /// Gossip of the sender, of hosts that it knows and of processes that live; `asks` for an answer with many hosts.
    Heartbeat {
        own: Box<HostHeartbeat>,
        others: Vec<HostHeartbeat>,
        seen: Vec<LivenessDigest>,
        asks: bool,
    },
    /// Request for tokens to the keeper.
    TokenAsk { number: u64, tokens: u32 },
    /// Answer to the request with the same number.
    TokenGrant { number: u64, grant: TokenGrant },
}

/// Datagram under way.
pub struct Envelope {
    /// Host that sent it.
    pub from: usize,
    /// Host that receives it.
    pub to: usize,
    /// What is sent.
    pub datagram: Datagram,
}

/// Request of a customer that waits for the keeper's answer.
pub struct PendingAsk {
    /// Host that asked.
    pub host: usize,
    /// Process of the host.
    pub incarnation: u64,
    /// Host that was asked.
    pub keeper: usize,
    /// Tokens asked for.
    pub tokens: u32,
    /// Step of the first datagram.
    pub asked_at: usize,
}
