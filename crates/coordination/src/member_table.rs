//! Who is here: heartbeats, heard directly or through others, joined with the platform's lagging host list.

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

/// Relays of each failure domain.
pub const RELAYS_PER_DOMAIN: usize = 2;
/// Most members that are known at once.
pub const MAX_MEMBERS: usize = 4_096;
/// Most members of one other failure domain that are known at once.
pub const MAX_FOREIGN_MEMBERS: usize = 16;
/// Lists in a row that must lack a host which was listed before, until it counts as dropped.
const MISSED_LISTS_UNTIL_DROPPED: u32 = 2;
/// Time after which a gone or never heard member is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// Every so many heartbeats between failure domains one goes to a suspect member instead of a relay, so that hosts
/// which know nobody, or a side that was cut off, are found again.
const TURNS_PER_PROBE: usize = 8;
/// Heartbeats in the own domain to one between failure domains, at rest.
const BEATS_PER_FOREIGN_HEARTBEAT: usize = 2;
/// Time after it was listed for which a host that was never heard is called at each beat; a start takes a few seconds.
const UNHEARD_CALL_PERIOD: Duration = Duration::from_secs(30);
/// Age from which a hearing is not passed on to others.
const MAX_GOSSIP_AGE: Duration = Duration::from_secs(5);

/// Who a table belongs to and how it judges.
#[derive(Clone, Debug)]
pub struct TableSettings {
    /// Own host.
    pub host: HostId,
    /// Own failure domain.
    pub failure_domain: DomainId,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence that is suspicious beyond the time in which each member has its turn.
    pub suspicion_grace: Duration,
}

/// When a hearing was said.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatTime {
    /// Estimate: the time that the message took is left out.
    pub sent_at: Instant,
    /// Time after which it was surely said; only an answer to an own request has one.
    pub sent_after: Option<Instant>,
}

/// Members as one host knows them.
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
    /// A table that knows nobody else yet.
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

    /// Takes what a member said. Earlier process starts, earlier sayings and the dead are ignored; returns
    /// whether it was taken.
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
                let taken = record.apply_heartbeat(heartbeat, time);
                if let Some(at) = record.take_lost_at() {
                    self.latest_loss_at = self.latest_loss_at.max(Some(at));
                }
                taken
            }
            None if has_room => {
                let record = MemberRecord::from_heartbeat(heartbeat, time);
                self.records.insert(record.host().into(), record);
                true
            }
            None => false,
        }
    }

    /// Takes a copy of the platform's list, or of its rows of one failure domain. A member that was listed
    /// before, is missing from two lists in a row and is silent as well is gone; one that is still heard is
    /// leaving.
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

    /// Takes the proof that no process listens at a member's address: a call that was started at `started` was
    /// refused. It proves nothing about a later process start, nor about a member that was never heard.
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

    /// Judges silence. Call it at each beat.
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

    /// Members to send the next heartbeat to: one of the own failure domain, and, from a relay, one relay of
    /// another failure domain, each in turn. The latter goes out at each call only if it is `urgent` to hear the
    /// others, as while the store is out.
    pub fn next_peers(&mut self, urgent: bool) -> Vec<(HostId, Incarnation, SocketAddr)> {
        let own = &*self.settings.failure_domain;
        let mut chosen = Vec::new();
        self.beat_turn = self.beat_turn.wrapping_add(1);
        let near: Vec<_> =
            self.records.values().filter(|record| record.failure_domain() == own).collect();
        if let Some(record) = next_callable(&near, self.beat_turn) {
            chosen.push(record.peer());
        }
        let sends_foreign = urgent || self.beat_turn.is_multiple_of(BEATS_PER_FOREIGN_HEARTBEAT);
        if sends_foreign && self.relay_rank().is_some() {
            self.relay_turn = self.relay_turn.wrapping_add(1);
            let probe = self.relay_turn.is_multiple_of(TURNS_PER_PROBE);
            let far = if probe { self.foreign_suspects() } else { self.foreign_relays() };
            let turn = if probe { self.relay_turn / TURNS_PER_PROBE } else { self.relay_turn };
            if let Some(record) = next_callable(&far, turn) {
                chosen.push(record.peer());
            }
        }
        chosen
    }

    /// From a relay, a member of another failure domain that was listed lately and never heard, each in turn. One whose own
    /// domain is cut off from the store hears of nobody unless it is called.
    pub fn unheard_peer(&mut self, now: Instant) -> Option<(HostId, Incarnation, SocketAddr)> {
        self.relay_rank()?;
        self.unheard_turn = self.unheard_turn.wrapping_add(1);
        let is_new = |record: &&MemberRecord| record.is_new_and_unheard(now, UNHEARD_CALL_PERIOD);
        let unheard: Vec<_> = self.foreign_suspects().into_iter().filter(is_new).collect();
        next_callable(&unheard, self.unheard_turn).map(MemberRecord::peer)
    }

    /// Sayings of up to `count` members to pass on to `receiver`, in turn, those of the own domain first if
    /// the receiver is of another one.
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

    /// Own place among the relays of the own failure domain; `None` if this host is not one.
    pub fn relay_rank(&self) -> Option<usize> {
        let relays = self.relays(&self.settings.failure_domain);
        relays.iter().position(|host| **host == *self.settings.host)
    }

    /// Relays of a failure domain, as far as its members are known, this host included. Members that are not
    /// live fill up, so that a domain of which nobody was heard yet is called at all.
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

    /// Members as seen now, without this host, in order of their names.
    pub fn view(&self, now: Instant) -> MemberView {
        let mut members: Vec<_> = self.records.values().map(|record| record.entry(now)).collect();
        members.sort_by(|one, other| one.host.cmp(&other.host));
        MemberView { members }
    }

    /// Time up to which no change can have been accepted that a host at `revision` lacks, concluded from the
    /// members alone: each has said that the store does not take its changes, none has a later revision, and none
    /// was lost or restarted since `confirmed`, when that was last known otherwise. `None` if that does not hold.
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
        let near = domain == &*self.settings.failure_domain;
        let known = self.records.values().filter(|record| record.failure_domain() == domain);
        self.records.len() < MAX_MEMBERS && (near || known.count() < MAX_FOREIGN_MEMBERS)
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
            own: own.into(),
            near: turn(near),
            far: turn(BEATS_PER_FOREIGN_HEARTBEAT * far),
        }
    }
}

/// Silence that is suspicious, by failure domain.
struct SuspicionTimeouts {
    own: DomainId,
    near: Duration,
    far: Duration,
}

impl SuspicionTimeouts {
    fn timeout_for(&self, domain: &str) -> Duration {
        match *domain == *self.own {
            true => self.near,
            false => self.far,
        }
    }
}

/// Next member in turn that is not gone.
fn next_callable<'a>(records: &[&'a MemberRecord], turn: usize) -> Option<&'a MemberRecord> {
    let callable: Vec<_> =
        records.iter().filter(|record| record.health() != MemberHealth::Gone).collect();
    let turn = turn.checked_rem(callable.len())?;
    callable.get(turn).map(|record| **record)
}
