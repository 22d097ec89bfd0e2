//! Actor that owns the member table and publishes it as a `MemberView`.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::Incarnation;
use coordination::ids::Revision;
use coordination::member_table::HeartbeatTime;
use coordination::member_table::MemberTable;
use coordination::member_table::TableSettings;
use kameo::Actor;
use kameo::message::Context;
use kameo::message::Message;
use spdlog::info;

use crate::interface::HeardHeartbeat;
use crate::interface::Heartbeat;
use crate::interface::ListedHost;
use crate::interface::MemberView;
use crate::membership::HostStatus;

/// Interval between heartbeat rounds, before jitter.
pub(crate) const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Silence, beyond one full round over the members, after which a member is suspected.
const SUSPICION_GRACE: Duration = Duration::from_millis(1_500);
/// Heartbeats of other members that are passed on with each heartbeat in normal operation.
const DIGEST_LENGTH: usize = 1;
/// Heartbeats of other members that are passed on with each heartbeat while this host cannot reach the store.
const OUTAGE_DIGEST_LENGTH: usize = 4;

/// Owns the member table. Publishes the view of the members and the relay rank of this host.
#[derive(Actor)]
pub struct MemberActor {
    table: MemberTable,
    status: Arc<HostStatus>,
    published: Arc<ArcSwap<MemberView>>,
    rank_sender: tokio::sync::watch::Sender<Option<usize>>,
}

/// Records a heartbeat that a peer sent; replies with the heartbeats of other members to pass on to that peer.
pub(crate) struct RecordHeartbeat {
    pub(crate) own: Heartbeat,
    pub(crate) others: Vec<HeardHeartbeat>,
    pub(crate) received_at: Instant,
}

/// Records a heartbeat that a peer returned in reply to one sent at `sent_at`.
pub(crate) struct RecordHeartbeatReply {
    pub(crate) own: Heartbeat,
    pub(crate) others: Vec<HeardHeartbeat>,
    pub(crate) sent_at: Instant,
}

/// Records the platform's host list, or only its rows of `domain` if one is given.
pub(crate) struct RecordHostList {
    pub(crate) rows: Vec<ListedHost>,
    pub(crate) domain: Option<DomainId>,
}

/// Records that the connection to a member was refused, which means that no process listens there.
pub(crate) struct RecordRefusedConnection {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started_at: Instant,
}

/// Updates the health of silent members; replies with the heartbeats to send in this round.
pub(crate) struct PlanHeartbeats;

/// Replies with the time up to which no member can have had a change accepted that a host at `revision` lacks; `None` if
/// that cannot be concluded, as when a member was lost since `confirmed_at`.
pub(crate) struct FindStoreCutOff {
    pub(crate) revision: Revision,
    pub(crate) confirmed_at: Instant,
}

/// A heartbeat to send: its receiver, and the heartbeats of other members to pass on.
#[derive(Debug)]
pub(crate) struct HeartbeatCall {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) others: Vec<HeardHeartbeat>,
}

impl MemberActor {
    /// Creates an actor with an empty member table that publishes its view into `published`.
    pub fn new(status: Arc<HostStatus>, published: Arc<ArcSwap<MemberView>>) -> Self {
        let identity = status.identity();
        let table = MemberTable::new(TableSettings {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            heartbeat_interval: HEARTBEAT_INTERVAL,
            suspicion_grace: SUSPICION_GRACE,
        });
        let actor =
            Self { table, status, published, rank_sender: tokio::sync::watch::Sender::new(None) };
        actor.publish();
        actor
    }

    /// Watches the rank of this host among the relays of its failure domain; 0 is the first, `None` means not a relay.
    pub fn relay_rank(&self) -> tokio::sync::watch::Receiver<Option<usize>> {
        self.rank_sender.subscribe()
    }

    /// Records a heartbeat and those passed on with it. `sent_at` is when the own request was sent to which this is the
    /// reply; `None` if the peer sent it unasked.
    fn record_heartbeats(
        &mut self,
        heartbeat: Heartbeat,
        others: Vec<HeardHeartbeat>,
        sent_at: Option<Instant>,
        received_at: Instant,
    ) {
        self.table.apply_heartbeat(
            heartbeat,
            HeartbeatTime { sent_at: received_at, sent_after: sent_at },
            received_at,
        );
        for other in others {
            let minus_age = |at: Instant| at.checked_sub(other.age);
            let Some(said_at) = minus_age(received_at) else { continue };
            let time = HeartbeatTime { sent_at: said_at, sent_after: sent_at.and_then(minus_age) };
            self.table.apply_heartbeat(other.heartbeat, time, received_at);
        }
    }

    fn digest_length(&self, now: Instant) -> usize {
        match self.status.reaches_store(now) {
            true => DIGEST_LENGTH,
            false => OUTAGE_DIGEST_LENGTH,
        }
    }

    fn publish(&self) {
        let now = Instant::now();
        let mut view = self.table.view(now);
        let own_entry = self.status.member_entry(now);
        let index = view.members.partition_point(|member| member.host < own_entry.host);
        view.members.insert(index, own_entry);
        self.log_changes(&view);
        self.published.store(Arc::new(view));
        let rank = self.table.relay_rank();
        self.rank_sender.send_if_modified(|known| std::mem::replace(known, rank) != rank);
    }

    /// Logs each member whose health differs from the published view.
    fn log_changes(&self, view: &MemberView) {
        let previous = self.published.load();
        for member in &view.members {
            let known = previous.member(&member.host);
            if known.is_none_or(|known| known.health != member.health) {
                info!("member", kv: {
                    host: = member.host, incarnation = member.incarnation, health:? = member.health
                });
            }
        }
    }
}

impl Message<RecordHeartbeat> for MemberActor {
    type Reply = Vec<HeardHeartbeat>;

    async fn handle(
        &mut self,
        message: RecordHeartbeat,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let receiver = message.own.host.clone();
        self.record_heartbeats(message.own, message.others, None, message.received_at);
        let now = Instant::now();
        let digest_length = self.digest_length(now);
        self.table.gossip_digest(&receiver, digest_length, now)
    }
}

impl Message<RecordHeartbeatReply> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: RecordHeartbeatReply,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.record_heartbeats(message.own, message.others, Some(message.sent_at), Instant::now());
        self.publish();
    }
}

impl Message<RecordHostList> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: RecordHostList,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.apply_host_list(&message.rows, message.domain.as_deref(), Instant::now());
        self.publish();
    }
}

impl Message<RecordRefusedConnection> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: RecordRefusedConnection,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.record_refused_connection(
            &message.host,
            message.incarnation,
            message.started_at,
        );
        self.publish();
    }
}

impl Message<PlanHeartbeats> for MemberActor {
    type Reply = Vec<HeartbeatCall>;

    async fn handle(
        &mut self,
        _message: PlanHeartbeats,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = Instant::now();
        self.table.tick(now);
        self.publish();
        let is_store_down = !self.status.reaches_store(now);
        let digest_length = self.digest_length(now);
        let mut peers = self.table.next_peers(is_store_down);
        let unheard = self.table.unheard_peer(now);
        peers.extend(unheard.filter(|(host, ..)| peers.iter().all(|(known, ..)| known != host)));
        let plan_call = |(host, incarnation, address): (HostId, Incarnation, SocketAddr)| {
            let others = self.table.gossip_digest(&host, digest_length, now);
            HeartbeatCall { host, incarnation, address, others }
        };
        peers.into_iter().map(plan_call).collect()
    }
}

impl Message<FindStoreCutOff> for MemberActor {
    type Reply = Option<Instant>;

    async fn handle(
        &mut self,
        message: FindStoreCutOff,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.cut_off_since(message.revision, message.confirmed_at)
    }
}
