//! Membership of the fleet: heartbeats, received directly or through other hosts, combined with the platform's host
//! list, which lags behind.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use indexmap::IndexMap;

use crate::heartbeat::HeardHeartbeat;
use crate::heartbeat::Heartbeat;
use crate::ids::DomainId;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::listed_host::ListedHost;
use crate::member_record::MemberRecord;
use crate::member_view::MemberHealth;
use crate::member_view::MemberView;
use crate::rendezvous::highest_scores;

/// Hosts of each failure domain that exchange heartbeats with other failure domains.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Most members that a table holds; further ones are ignored.
pub const MAX_MEMBERS: usize = 4_096;
/// Most members of any one foreign failure domain that a table holds; further ones are ignored.
pub const MAX_FOREIGN_MEMBERS: usize = 16;
/// Consecutive host lists from which a listed host must be missing before it counts as dropped.
const MISSED_LISTS_UNTIL_DROPPED: u32 = 2;
/// Time after which a gone member, or a silent one that is not listed, is removed.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// One in this many heartbeats between failure domains goes to a suspect member instead of a relay, so that hosts which
/// know no other member are found, and both sides of a healed partition find each other again.
const TURNS_PER_PROBE: usize = 8;
/// Heartbeat intervals for each heartbeat between failure domains, unless foreign state is needed urgently.
const BEATS_PER_FOREIGN_HEARTBEAT: usize = 2;
/// Time after being listed in which a host without any heartbeat is called at each interval; a process start takes a
/// few seconds.
const UNHEARD_CALL_PERIOD: Duration = Duration::from_secs(30);
/// Age above which a heartbeat is no longer passed on to other hosts.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(5);

/// Owner of a member table and its timeouts.
#[derive(Clone, Debug)]
pub struct TableSettings {
    /// Host that the table belongs to; it is not a member of its own table.
    pub host: HostId,
    /// Failure domain of that host.
    pub failure_domain: DomainId,
    /// Time between the heartbeats that the host sends.
    pub heartbeat_interval: Duration,
    /// Silence after which a member is suspect, in addition to the time in which every member has its turn.
    pub suspicion_grace: Duration,
}

/// When a received heartbeat was sent.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTime {
    /// Estimate of the time of sending, which ignores the transit time.
    pub sent_at: Instant,
    /// Time before which it certainly was not sent; only a reply to a request of this host has one.
    pub sent_after: Option<Instant>,
}

/// Members of the fleet as one host knows them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    settings: TableSettings,
    records: IndexMap<HostId, MemberRecord>,
    beat_turn: usize,
    relay_turn: usize,
    unheard_turn: usize,
    digest_turn: usize,
    latest_loss_at: Option<Instant>,
}

impl MemberTable {
    /// Creates a table without members.
    pub fn new(settings: TableSettings) -> Self {
        Self {
            settings,
            records: IndexMap::new(),
            beat_turn: 0,
            relay_turn: 0,
            unheard_turn: 0,
            digest_turn: 0,
            latest_loss_at: None,
        }
    }

    /// Applies a heartbeat and returns whether it was accepted. Heartbeats are ignored if they are of an earlier process
    /// start, older than the latest one, of a gone member that it does not prove alive, of the table's own host, or
    /// of a new member for which there is no room.
    pub fn apply_heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        time: HeartbeatTime,
        now: Instant,
    ) -> bool {
        if heartbeat.host == self.settings.host || heartbeat.incarnation == 0 {
            return false;
        }
        let time = HeartbeatTime { sent_at: time.sent_at.min(now), ..time };
        let has_room = self.has_room(&heartbeat.failure_domain);
        match self.records.get_mut(&heartbeat.host) {
            Some(record) => {
                let is_accepted = record.apply_heartbeat(heartbeat, time);
                if let Some(at) = record.take_lost_at() {
                    self.latest_loss_at = self.latest_loss_at.max(Some(at));
                }
                is_accepted
            }
            None if has_room => {
                let record = MemberRecord::from_heartbeat(heartbeat, time);
                self.records.insert(record.host().into(), record);
                true
            }
            None => false,
        }
    }

    /// Applies a copy of the platform's host list; with `domain`, only its rows of that failure domain. A member that was
    /// listed before and is missing from two lists in a row is gone if it is also silent, and leaving if its heartbeats
    /// still arrive.
    pub fn apply_host_list(&mut self, rows: &[ListedHost], domain: Option<&str>, now: Instant) {
        for record in self.records.values_mut() {
            if domain.is_none_or(|domain| record.failure_domain() == domain) {
                record.record_missing_from_list();
            }
        }
        for row in rows.iter().filter(|row| row.host != self.settings.host) {
            let has_room = self.has_room(&row.failure_domain);
            match self.records.get_mut(&row.host) {
                Some(record) => record.apply_list_row(row),
                None if has_room => {
                    self.records.insert(row.host.clone(), MemberRecord::from_list_row(row, now));
                }
                None => {}
            }
        }
        let timeouts = self.suspicion_timeouts();
        for record in self.records.values_mut() {
            let silence = timeouts.timeout_for(record.failure_domain());
            record.evaluate_listing(MISSED_LISTS_UNTIL_DROPPED, silence, now);
        }
        self.collect_losses();
    }

    /// Marks a member as gone because a connection to its address, attempted at `started`, was refused: no process listens
    /// there. This proves nothing about a later process start or a member without heartbeats, which stay as they are.
    pub fn record_refused_connection(
        &mut self,
        host: &str,
        incarnation: Incarnation,
        started: Instant,
    ) {
        if let Some(record) = self.records.get_mut(host) {
            record.record_refused_connection(incarnation, started);
        }
        self.collect_losses();
    }

    /// Updates which members are suspect and removes those that are due. Must be called at each heartbeat interval.
    pub fn tick(&mut self, now: Instant) {
        let timeouts = self.suspicion_timeouts();
        for record in self.records.values_mut() {
            let silence = timeouts.timeout_for(record.failure_domain());
            record.evaluate_silence(silence, now);
        }
        let known = self.records.len();
        self.records.retain(|_, record| !record.should_forget(FORGET_AFTER, now));
        if self.records.len() < known {
            self.latest_loss_at = Some(now);
        }
    }

    /// Members to send the next heartbeat to, each in turn: one of the own failure domain and, if this host is a relay, one
    /// relay of another failure domain. The latter is included at every call only if `is_urgent`, for example while the
    /// store is unavailable and hosts have to learn changes from each other.
    pub fn next_peers(&mut self, is_urgent: bool) -> Vec<(HostId, Incarnation, SocketAddr)> {
        let own = &*self.settings.failure_domain;
        let mut chosen = Vec::new();
        self.beat_turn = self.beat_turn.wrapping_add(1);
        let near: Vec<_> =
            self.records.values().filter(|record| record.failure_domain() == own).collect();
        if let Some(record) = next_callable(&near, self.beat_turn) {
            chosen.push(record.peer());
        }
        let sends_foreign = is_urgent || self.beat_turn.is_multiple_of(BEATS_PER_FOREIGN_HEARTBEAT);
        if sends_foreign && self.relay_rank().is_some() {
            self.relay_turn = self.relay_turn.wrapping_add(1);
            let is_probe = self.relay_turn.is_multiple_of(TURNS_PER_PROBE);
            let far = if is_probe { self.foreign_suspects() } else { self.foreign_relays() };
            let turn = if is_probe { self.relay_turn / TURNS_PER_PROBE } else { self.relay_turn };
            if let Some(record) = next_callable(&far, turn) {
                chosen.push(record.peer());
            }
        }
        chosen
    }

    /// Member of another failure domain that was listed recently and has sent no heartbeat yet, each in turn; `None` unless
    /// this host is a relay. A new host whose domain cannot reach the store learns of no other host unless it is called.
    pub fn unheard_peer(&mut self, now: Instant) -> Option<(HostId, Incarnation, SocketAddr)> {
        self.relay_rank()?;
        self.unheard_turn = self.unheard_turn.wrapping_add(1);
        let is_new = |record: &&MemberRecord| record.is_new_and_unheard(now, UNHEARD_CALL_PERIOD);
        let unheard: Vec<_> = self.foreign_suspects().into_iter().filter(is_new).collect();
        next_callable(&unheard, self.unheard_turn).map(MemberRecord::peer)
    }

    /// Recent heartbeats of up to `count` members, each in turn, to pass on to `receiver`.
    pub fn gossip_digest(
        &mut self,
        receiver: &str,
        count: usize,
        now: Instant,
    ) -> Vec<HeardHeartbeat> {
        self.digest_turn = self.digest_turn.wrapping_add(count);
        let fresh: Vec<_> = self
            .records
            .values()
            .filter(|record| record.host() != receiver)
            .filter_map(|record| record.gossip_entry(now))
            .filter(|heartbeat| heartbeat.age <= MAX_GOSSIP_AGE)
            .collect();
        let length = fresh.len();
        let turn = self.digest_turn.checked_rem(length).unwrap_or(0);
        fresh.into_iter().cycle().skip(turn).take(count.min(length)).collect()
    }

    /// Rank of this host among the relays of its failure domain, best first; `None` if it is not a relay.
    pub fn relay_rank(&self) -> Option<usize> {
        let relays = self.relays(&self.settings.failure_domain);
        relays.iter().position(|host| **host == *self.settings.host)
    }

    /// Relays of a failure domain among its known members, this host included. Suspect members fill up the number, so that a
    /// domain without any heartbeat so far is called at all.
    pub fn relays(&self, domain: &str) -> Vec<HostId> {
        let own = (domain == &*self.settings.failure_domain).then_some(&*self.settings.host);
        let here = |health: MemberHealth| {
            self.records
                .values()
                .filter(move |record| record.failure_domain() == domain)
                .filter(move |record| record.health() == health)
                .map(MemberRecord::host)
        };
        let live = here(MemberHealth::Live).chain(own);
        let mut chosen = highest_scores(domain, live, RELAYS_PER_DOMAIN);
        let missing = RELAYS_PER_DOMAIN - chosen.len();
        chosen.extend(highest_scores(domain, here(MemberHealth::Suspect), missing));
        chosen.into_iter().map(HostId::from).collect()
    }

    /// Snapshot of the members, without this host, ordered by host name.
    pub fn view(&self, now: Instant) -> MemberView {
        let mut members: Vec<_> = self.records.values().map(|record| record.entry(now)).collect();
        members.sort_by(|one, other| one.host.cmp(&other.host));
        MemberView { members }
    }

    /// Time up to which no change can have been accepted that a host at `revision` lacks, derived from the members alone.
    /// It requires that every member has reported that the store accepts no change from it, that none has a later
    /// revision, and that none was lost or restarted since `confirmed`, when `revision` was last known to be the latest
    /// by other means. `None` if any of this does not hold.
    pub fn cut_off_since(&self, revision: Revision, confirmed: Instant) -> Option<Instant> {
        if self.latest_loss_at.is_some_and(|at| at >= confirmed) {
            return None;
        }
        let mut earliest = None;
        for record in self.records.values() {
            let cut_off = match record.health() {
                MemberHealth::Gone => continue,
                _ if record.revision() > revision => return None,
                _ => record.cut_off_since()?,
            };
            earliest = Some(earliest.map_or(cut_off, |earliest: Instant| earliest.min(cut_off)));
        }
        earliest
    }

    fn collect_losses(&mut self) {
        let losses = self.records.values_mut().filter_map(MemberRecord::take_lost_at);
        self.latest_loss_at = losses.max().max(self.latest_loss_at);
    }

    fn foreign_suspects(&self) -> Vec<&MemberRecord> {
        let own = &*self.settings.failure_domain;
        self.records
            .values()
            .filter(|record| record.failure_domain() != own)
            .filter(|record| record.health() == MemberHealth::Suspect)
            .collect()
    }

    fn foreign_relays(&self) -> Vec<&MemberRecord> {
        let own = &*self.settings.failure_domain;
        let mut domains: Vec<&str> =
            self.records.values().map(MemberRecord::failure_domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains
            .into_iter()
            .filter(|domain| *domain != own)
            .flat_map(|domain| self.relays(domain))
            .filter_map(|host| self.records.get(&host))
            .collect()
    }

    fn has_room(&self, domain: &str) -> bool {
        let is_own_domain = domain == &*self.settings.failure_domain;
        let known = self.records.values().filter(|record| record.failure_domain() == domain);
        self.records.len() < MAX_MEMBERS && (is_own_domain || known.count() < MAX_FOREIGN_MEMBERS)
    }

    fn suspicion_timeouts(&self) -> SuspicionTimeouts {
        let own = &*self.settings.failure_domain;
        let near = self.records.values().filter(|record| record.failure_domain() == own).count();
        let far = self.records.len() - near;
        let turn = |count: usize| {
            self.settings.suspicion_grace
                + self.settings.heartbeat_interval * u32::try_from(count).unwrap_or(u32::MAX)
        };
        SuspicionTimeouts {
            own_domain: own.into(),
            own_timeout: turn(near),
            foreign_timeout: turn(BEATS_PER_FOREIGN_HEARTBEAT * far),
        }
    }
}

/// Silence after which a member is suspect: for members of the own failure domain and of any other.
struct SuspicionTimeouts {
    own_domain: DomainId,
    own_timeout: Duration,
    foreign_timeout: Duration,
}

impl SuspicionTimeouts {
    fn timeout_for(&self, domain: &str) -> Duration {
        match *domain == *self.own_domain {
            true => self.own_timeout,
            false => self.foreign_timeout,
        }
    }
}

/// Picks the member whose turn it is among those that are not gone; `None` if there is none.
fn next_callable<'a>(records: &[&'a MemberRecord], turn: usize) -> Option<&'a MemberRecord> {
    let callable: Vec<_> =
        records.iter().filter(|record| record.health() != MemberHealth::Gone).collect();
    let turn = turn.checked_rem(callable.len())?;
    callable.get(turn).map(|record| **record)
}
