//! Sends heartbeats to peers and processes their replies.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use coordination::ids::HostId;
use coordination::ids::Revision;
use kameo::actor::ActorRef;
use rand::RngExt;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use crate::configuration::ConfigurationCell;
use crate::interface::FreshnessCell;
use crate::interface::Heartbeat;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::membership::HostStatus;
use crate::membership::MemberActor;
use crate::membership::member_actor::FindStoreCutOff;
use crate::membership::member_actor::HEARTBEAT_INTERVAL;
use crate::membership::member_actor::HeartbeatCall;
use crate::membership::member_actor::PlanHeartbeats;
use crate::membership::member_actor::RecordHeartbeatReply;
use crate::membership::member_actor::RecordRefusedConnection;
use crate::mesh::AddressError;
use crate::mesh::MeshCaller;

/// Timeout of one heartbeat call.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Heartbeats that may await a reply at once; further ones of the round are skipped.
const MAX_PENDING_HEARTBEATS: usize = 32;
/// Age of this host's confirmation from which it tries to derive a newer one from what the members report about
/// their own access to the store.
const MEMBER_CONFIRMATION_AGE: Duration = Duration::from_secs(1);
/// Heartbeat rounds between two heartbeats to a seed, once other hosts are known.
const SEED_INTERVAL_ROUNDS: usize = 20;

/// A peer that has a later configuration revision or other floor plans than this host.
#[derive(Clone, Debug, PartialEq)]
pub struct PeerHint {
    /// Name of the peer.
    pub host: HostId,
    /// Mesh address of the peer.
    pub address: SocketAddr,
    /// Configuration revision in force on the peer.
    pub revision: Revision,
    /// Whether the digest of the peer's floor plans differs from this host's.
    pub has_different_plans: bool,
}

/// Sends heartbeats at a jittered `HEARTBEAT_INTERVAL`, records the replies in the member table and reports peers
/// with newer state.
pub struct HeartbeatLoop {
    members: ActorRef<MemberActor>,
    status: Arc<HostStatus>,
    peers: MeshCaller,
    seeds: Vec<SocketAddr>,
    configuration: ConfigurationCell,
    freshness: FreshnessCell,
    hints: mpsc::Sender<PeerHint>,
}

impl HeartbeatLoop {
    /// Creates the loop. Peers with newer state are sent to `hints`; a hint is dropped while the channel is full.
    pub fn new(
        members: ActorRef<MemberActor>,
        status: Arc<HostStatus>,
        peers: MeshCaller,
        seeds: Vec<SocketAddr>,
        configuration: ConfigurationCell,
        freshness: FreshnessCell,
        hints: mpsc::Sender<PeerHint>,
    ) -> Arc<Self> {
        Arc::new(Self { members, status, peers, seeds, configuration, freshness, hints })
    }

    /// Sends heartbeats until the task is dropped or the member actor stops.
    pub async fn run(self: Arc<Self>) {
        let mut pending_heartbeats = JoinSet::new();
        for round in 0_usize.. {
            while pending_heartbeats.try_join_next().is_some() {}
            let Ok(mut calls) = self.members.ask(PlanHeartbeats).await else { return };
            calls.extend(self.seed_heartbeat(round, calls.is_empty()));
            for call in calls {
                if pending_heartbeats.len() < MAX_PENDING_HEARTBEATS {
                    pending_heartbeats.spawn(Arc::clone(&self).send_heartbeat(call));
                }
            }
            self.confirm_from_members().await;
            let pause = HEARTBEAT_INTERVAL.mul_f64(rand::rng().random_range(0.8..1.2));
            tokio::time::sleep(pause).await;
        }
    }

    /// Heartbeat to a seed: in each round while no member is known, afterwards every `SEED_INTERVAL_ROUNDS`, so that
    /// two parts of a partitioned fleet discover each other. `None` if none is due or the seed is this host.
    /// The address of the seed stands in for its host name, which is not known.
    fn seed_heartbeat(&self, round: usize, is_alone: bool) -> Option<HeartbeatCall> {
        let index = match is_alone {
            true => round,
            false if round.is_multiple_of(SEED_INTERVAL_ROUNDS) => round / SEED_INTERVAL_ROUNDS,
            false => return None,
        };
        let address = *self.seeds.get(index.checked_rem(self.seeds.len())?)?;
        let own_address = self.status.identity().mesh_address;
        let host = address.to_string().into();
        (address != own_address).then(|| HeartbeatCall {
            host,
            incarnation: 0,
            address,
            others: Vec::new(),
        })
    }

    async fn send_heartbeat(self: Arc<Self>, call: HeartbeatCall) {
        let sent_at = Instant::now();
        let request =
            PeerRequest::Heartbeat { own: self.status.heartbeat(sent_at), others: call.others };
        match self.peers.call_address(&call.host, call.address, request, HEARTBEAT_TIMEOUT).await {
            Ok(PeerReply::Heartbeat { own, others }) => {
                self.process_reply(&own, sent_at);
                let _ = self.members.tell(RecordHeartbeatReply { own, others, sent_at }).await;
            }
            Err(AddressError::NotListening) => {
                let HeartbeatCall { host, incarnation, .. } = call;
                let message = RecordRefusedConnection { host, incarnation, started_at: sent_at };
                let _ = self.members.tell(message).await;
            }
            Ok(_) | Err(AddressError::Failed(_)) => {}
        }
    }

    /// Adopts the peer's confirmation if this host's revision is at least the peer's, and sends a hint if the peer
    /// has a later revision or other floor plans.
    fn process_reply(&self, heartbeat: &Heartbeat, sent_at: Instant) {
        let revision = self.configuration.load().revision;
        match heartbeat.confirmation_age.and_then(|age| sent_at.checked_sub(age)) {
            Some(at) if heartbeat.revision <= revision => {
                self.freshness.record_confirmation(at, &heartbeat.host)
            }
            _ => {}
        }
        let has_different_plans =
            heartbeat.plan_digest != self.status.heartbeat(sent_at).plan_digest;
        if heartbeat.revision > revision || has_different_plans {
            let hint = PeerHint {
                host: heartbeat.host.clone(),
                address: heartbeat.mesh,
                revision: heartbeat.revision,
                has_different_plans,
            };
            let _ = self.hints.try_send(hint);
        }
    }

    /// Confirms the key state from the members alone during a store outage: while neither this host nor any other
    /// reaches the store, no withdrawal of a key can be accepted.
    async fn confirm_from_members(&self) {
        let now = Instant::now();
        let age = match self.freshness.age(now) {
            Some(age) if age >= MEMBER_CONFIRMATION_AGE && !self.status.reaches_store(now) => age,
            _ => return,
        };
        let Some(confirmed_at) = now.checked_sub(age) else { return };
        let revision = self.configuration.load().revision;
        if let Ok(Some(at)) = self.members.ask(FindStoreCutOff { revision, confirmed_at }).await {
            self.freshness.record_confirmation(at.min(now), "members");
        }
    }
}
