//! Keeps the table of members and publishes it.

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

/// Time between heartbeats.
pub(crate) const BEAT: Duration = Duration::from_millis(500);
/// Silence that is suspicious beyond the time in which each member has its turn.
const GRACE: Duration = Duration::from_millis(1_500);
/// Sayings of others that go with a heartbeat at rest.
const DIGEST_LENGTH: usize = 1;
/// Sayings of others that go with a heartbeat while the store is out.
const URGENT_DIGEST_LENGTH: usize = 4;

/// Keeps the table of members and publishes it.
#[derive(Actor)]
pub struct MemberActor {
    table: MemberTable,
    status: Arc<HostStatus>,
    published: Arc<ArcSwap<MemberView>>,
    roles: tokio::sync::watch::Sender<Option<usize>>,
}

/// A heartbeat that came as a request.
pub(crate) struct HearRequest {
    pub(crate) own: Heartbeat,
    pub(crate) others: Vec<HeardHeartbeat>,
    pub(crate) received: Instant,
}

/// A heartbeat that came as the answer to an own request.
pub(crate) struct HearReply {
    pub(crate) own: Heartbeat,
    pub(crate) others: Vec<HeardHeartbeat>,
    pub(crate) sent: Instant,
}

/// A copy of the platform's list, or of its rows of one failure domain.
pub(crate) struct ReadList {
    pub(crate) rows: Vec<ListedHost>,
    pub(crate) domain: Option<DomainId>,
}

/// A call to a member was refused by its machine: no process listens.
pub(crate) struct NoteRefused {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) started: Instant,
}

/// It is time for heartbeats; answers whom to send them to.
pub(crate) struct TakeBeat;

/// Asks since when no member can have had a change accepted.
pub(crate) struct AskCutOff {
    pub(crate) revision: Revision,
    pub(crate) confirmed: Instant,
}

/// A member to send a heartbeat to.
#[derive(Debug)]
pub(crate) struct BeatCall {
    pub(crate) host: HostId,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
    pub(crate) others: Vec<HeardHeartbeat>,
}

impl MemberActor {
    /// An actor that publishes into `published`.
    pub fn new(status: Arc<HostStatus>, published: Arc<ArcSwap<MemberView>>) -> Self {
        let identity = status.identity();
        let table = MemberTable::new(TableSettings {
            host: identity.host.clone(),
            failure_domain: identity.failure_domain.clone(),
            heartbeat_interval: BEAT,
            suspicion_grace: GRACE,
        });
        let actor = Self { table, status, published, roles: tokio::sync::watch::Sender::new(None) };
        actor.publish();
        actor
    }

    /// A receiver of this host's place among the relays of its failure domain.
    pub fn relay_rank(&self) -> tokio::sync::watch::Receiver<Option<usize>> {
        self.roles.subscribe()
    }

    fn hear_all(
        &mut self,
        own: Heartbeat,
        others: Vec<HeardHeartbeat>,
        sent: Option<Instant>,
        received: Instant,
    ) {
        self.table.apply_heartbeat(
            own,
            HeartbeatTime { sent_at: received, sent_after: sent },
            received,
        );
        for other in others {
            let before = |at: Instant| at.checked_sub(other.age);
            let Some(said_at) = before(received) else { continue };
            let time = HeartbeatTime { sent_at: said_at, sent_after: sent.and_then(before) };
            self.table.apply_heartbeat(other.heartbeat, time, received);
        }
    }

    fn digest_length(&self, now: Instant) -> usize {
        match self.status.reaches_store(now) {
            true => DIGEST_LENGTH,
            false => URGENT_DIGEST_LENGTH,
        }
    }

    fn publish(&self) {
        let now = Instant::now();
        let mut view = self.table.view(now);
        let own = self.status.member_entry(now);
        let place = view.members.partition_point(|member| member.host < own.host);
        view.members.insert(place, own);
        self.log_changes(&view);
        self.published.store(Arc::new(view));
        let rank = self.table.relay_rank();
        self.roles.send_if_modified(|known| std::mem::replace(known, rank) != rank);
    }

    fn log_changes(&self, view: &MemberView) {
        let before = self.published.load();
        for member in &view.members {
            let known = before.member(&member.host);
            if known.is_none_or(|known| known.health != member.health) {
                info!("member", kv: {
                    host: = member.host, incarnation = member.incarnation, health:? = member.health
                });
            }
        }
    }
}

impl Message<HearRequest> for MemberActor {
    type Reply = Vec<HeardHeartbeat>;

    async fn handle(
        &mut self,
        message: HearRequest,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let receiver = message.own.host.clone();
        self.hear_all(message.own, message.others, None, message.received);
        let now = Instant::now();
        let length = self.digest_length(now);
        self.table.gossip_digest(&receiver, length, now)
    }
}

impl Message<HearReply> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: HearReply,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.hear_all(message.own, message.others, Some(message.sent), Instant::now());
        self.publish();
    }
}

impl Message<ReadList> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: ReadList,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.apply_host_list(&message.rows, message.domain.as_deref(), Instant::now());
        self.publish();
    }
}

impl Message<NoteRefused> for MemberActor {
    type Reply = ();

    async fn handle(
        &mut self,
        message: NoteRefused,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.record_refused_connection(&message.host, message.incarnation, message.started);
        self.publish();
    }
}

impl Message<TakeBeat> for MemberActor {
    type Reply = Vec<BeatCall>;

    async fn handle(
        &mut self,
        _message: TakeBeat,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        let now = Instant::now();
        self.table.tick(now);
        self.publish();
        let urgent = !self.status.reaches_store(now);
        let length = self.digest_length(now);
        let mut peers = self.table.next_peers(urgent);
        let unheard = self.table.unheard_peer(now);
        peers.extend(unheard.filter(|(host, ..)| peers.iter().all(|(known, ..)| known != host)));
        let call = |(host, incarnation, address): (HostId, Incarnation, SocketAddr)| {
            let others = self.table.gossip_digest(&host, length, now);
            BeatCall { host, incarnation, address, others }
        };
        peers.into_iter().map(call).collect()
    }
}

impl Message<AskCutOff> for MemberActor {
    type Reply = Option<Instant>;

    async fn handle(
        &mut self,
        message: AskCutOff,
        _context: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        self.table.cut_off_since(message.revision, message.confirmed)
    }
}
