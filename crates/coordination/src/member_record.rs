//! State that a member table keeps for one member.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use crate::heartbeat::HeardHeartbeat;
use crate::heartbeat::Heartbeat;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::Revision;
use crate::listed_host::ListedHost;
use crate::member_table::HeartbeatTime;
use crate::member_view::MemberEntry;
use crate::member_view::MemberHealth;

/// Heartbeats after a suspicion until the member counts as live again.
const HEARTBEATS_TO_RECOVER: u32 = 3;
/// Most doublings of the suspicion timeout, for a member that was suspected although it was running.
const MAX_TIMEOUT_DOUBLINGS: u32 = 2;
/// Time without a suspicion after which one doubling of the timeout is reverted.
const DOUBLING_DECAY_AFTER: Duration = Duration::from_secs(60);
/// Callers' address of a member that is only known from the platform's list.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Latest heartbeat of one member, its listing by the platform and the health derived from both.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    heartbeat: Heartbeat,
    sent_at: Option<Instant>,
    sent_after: Option<Instant>,
    cut_off_since: Option<Instant>,
    lost_at: Option<Instant>,
    first_known_at: Instant,
    health: MemberHealth,
    dead_since: Option<Instant>,
    is_listed: bool,
    missed_lists: u32,
    is_leaving_in_list: bool,
    timeout_doublings: u32,
    heartbeats_while_suspect: u32,
    stable_since: Instant,
}

impl MemberRecord {
    pub(crate) fn from_heartbeat(heartbeat: Heartbeat, time: HeartbeatTime) -> Self {
        Self {
            cut_off_since: time.sent_after.filter(|_| !heartbeat.store_reached),
            lost_at: None,
            heartbeat,
            sent_at: Some(time.sent_at),
            sent_after: time.sent_after,
            first_known_at: time.sent_at,
            health: MemberHealth::Live,
            dead_since: None,
            is_listed: false,
            missed_lists: 0,
            is_leaving_in_list: false,
            timeout_doublings: 0,
            heartbeats_while_suspect: 0,
            stable_since: time.sent_at,
        }
    }

    pub(crate) fn from_list_row(row: &ListedHost, now: Instant) -> Self {
        let heartbeat = Heartbeat {
            host: row.host.clone(),
            incarnation: 0,
            failure_domain: row.failure_domain.clone(),
            region: row.region.clone(),
            callers: UNKNOWN_ADDRESS,
            mesh: row.mesh,
            revision: 0,
            leaving: false,
            confirmation_age: None,
            store_reached: true,
            plan_shrunk: 0,
            plan_digest: 0,
        };
        let time = HeartbeatTime { sent_at: now, sent_after: None };
        Self {
            sent_at: None,
            health: MemberHealth::Suspect,
            is_listed: true,
            is_leaving_in_list: row.leaving,
            ..Self::from_heartbeat(heartbeat, time)
        }
    }

    pub(crate) fn host(&self) -> &str {
        &self.heartbeat.host
    }

    pub(crate) fn failure_domain(&self) -> &str {
        &self.heartbeat.failure_domain
    }

    pub(crate) fn peer(&self) -> (HostId, Incarnation, SocketAddr) {
        (self.heartbeat.host.clone(), self.heartbeat.incarnation, self.heartbeat.mesh)
    }

    /// Whether no heartbeat of the member was ever received and it became known at most `within` ago.
    pub(crate) fn is_new_and_unheard(&self, now: Instant, within: Duration) -> bool {
        self.sent_at.is_none() && now.saturating_duration_since(self.first_known_at) <= within
    }

    /// Health of the member; a live member that is shutting down counts as leaving.
    pub(crate) fn health(&self) -> MemberHealth {
        match self.health {
            MemberHealth::Live if self.is_leaving() => MemberHealth::Leaving,
            health => health,
        }
    }

    /// Applies a heartbeat of this member; returns `false` if it is outdated and was ignored. A heartbeat of a later
    /// process start replaces the record. A gone member is revived only by a heartbeat that was certainly sent after its
    /// death was proved.
    pub(crate) fn apply_heartbeat(&mut self, heartbeat: Heartbeat, time: HeartbeatTime) -> bool {
        match heartbeat.incarnation.cmp(&self.heartbeat.incarnation) {
            std::cmp::Ordering::Less => return false,
            std::cmp::Ordering::Greater => {
                let had_process = self.heartbeat.incarnation != 0;
                let lost_at = had_process.then_some(time.sent_at);
                let is_listed = self.is_listed;
                *self = Self { is_listed, lost_at, ..Self::from_heartbeat(heartbeat, time) };
                return true;
            }
            std::cmp::Ordering::Equal => {}
        }
        let is_revivable = match (self.dead_since, time.sent_after) {
            (Some(dead_since), Some(sent_after)) => sent_after > dead_since,
            (Some(_), None) => false,
            (None, _) => true,
        };
        self.sent_after = self.sent_after.max(time.sent_after);
        if !is_revivable || self.sent_at.is_some_and(|sent_at| time.sent_at <= sent_at) {
            return false;
        }
        match time.sent_after {
            _ if heartbeat.store_reached => self.cut_off_since = None,
            Some(at) => self.cut_off_since = self.cut_off_since.max(Some(at)),
            None => {}
        }
        self.merge(heartbeat);
        self.sent_at = Some(time.sent_at);
        self.count_heartbeat(time.sent_at);
        true
    }

    fn merge(&mut self, later: Heartbeat) {
        let known = &self.heartbeat;
        self.heartbeat = Heartbeat {
            revision: later.revision.max(known.revision),
            plan_shrunk: later.plan_shrunk.max(known.plan_shrunk),
            leaving: later.leaving || known.leaving,
            ..later
        };
    }

    fn count_heartbeat(&mut self, now: Instant) {
        if self.health == MemberHealth::Live {
            return;
        }
        self.heartbeats_while_suspect += 1;
        if self.dead_since.take().is_some()
            || self.heartbeats_while_suspect >= HEARTBEATS_TO_RECOVER
        {
            self.health = MemberHealth::Live;
            self.timeout_doublings = (self.timeout_doublings + 1).min(MAX_TIMEOUT_DOUBLINGS);
            self.stable_since = now;
        }
    }

    pub(crate) fn record_missing_from_list(&mut self) {
        self.missed_lists = self.missed_lists.saturating_add(1);
    }

    pub(crate) fn apply_list_row(&mut self, row: &ListedHost) {
        self.is_listed = true;
        self.missed_lists = 0;
        self.is_leaving_in_list = row.leaving;
        if self.heartbeat.incarnation == 0 {
            self.heartbeat.mesh = row.mesh;
        }
    }

    pub(crate) fn evaluate_listing(
        &mut self,
        max_missed_lists: u32,
        suspicion_timeout: Duration,
        now: Instant,
    ) {
        if !self.is_listed || self.missed_lists < max_missed_lists {
            return;
        }
        match self.time_since_heartbeat(now) <= suspicion_timeout {
            true => self.is_leaving_in_list = true,
            false => self.declare_gone(now),
        }
    }

    pub(crate) fn record_refused_connection(&mut self, incarnation: Incarnation, started: Instant) {
        let was_heard_later = self.sent_after.is_some_and(|at| at > started);
        if incarnation != 0 && incarnation == self.heartbeat.incarnation && !was_heard_later {
            self.declare_gone(started);
        }
    }

    pub(crate) fn evaluate_silence(&mut self, suspicion_timeout: Duration, now: Instant) {
        if now.saturating_duration_since(self.stable_since) >= DOUBLING_DECAY_AFTER {
            self.timeout_doublings = self.timeout_doublings.saturating_sub(1);
            self.stable_since = now;
        }
        let timeout = suspicion_timeout * (1 << self.timeout_doublings);
        if self.time_since_heartbeat(now) > timeout {
            self.heartbeats_while_suspect = 0;
            if self.health == MemberHealth::Live {
                self.health = MemberHealth::Suspect;
                self.stable_since = now;
            }
        }
    }

    pub(crate) fn should_forget(&self, after: Duration, now: Instant) -> bool {
        let is_unlisted = !self.is_listed || self.missed_lists > 0;
        match self.health {
            MemberHealth::Gone => self
                .dead_since
                .is_some_and(|dead_since| now.saturating_duration_since(dead_since) > after),
            _ => is_unlisted && self.time_since_heartbeat(now) > after,
        }
    }

    /// Latest heartbeat to pass on to other hosts; `None` if none was ever received or the member is gone.
    pub(crate) fn gossip_entry(&self, now: Instant) -> Option<HeardHeartbeat> {
        match self.sent_at {
            Some(sent_at) if self.health != MemberHealth::Gone => Some(HeardHeartbeat {
                heartbeat: self.heartbeat.clone(),
                age: now.saturating_duration_since(sent_at),
            }),
            _ => None,
        }
    }

    /// Time after which the member certainly reported that the store accepts no change from it, with no other report
    /// since; `None` if there is no such report.
    pub(crate) fn cut_off_since(&self) -> Option<Instant> {
        self.cut_off_since
    }

    /// Latest configuration revision that the member's heartbeats reported as in force.
    pub(crate) fn revision(&self) -> Revision {
        self.heartbeat.revision
    }

    /// Returns once, for each process of this member that was lost, the time of the loss.
    pub(crate) fn take_lost_at(&mut self) -> Option<Instant> {
        self.lost_at.take()
    }

    pub(crate) fn entry(&self, now: Instant) -> MemberEntry {
        let heartbeat = &self.heartbeat;
        let heard_ago = self.sent_at.map(|sent_at| now.saturating_duration_since(sent_at));
        let confirmation_age = heartbeat.confirmation_age.zip(heard_ago);
        MemberEntry {
            host: heartbeat.host.clone(),
            incarnation: heartbeat.incarnation,
            failure_domain: heartbeat.failure_domain.clone(),
            region: heartbeat.region.clone(),
            callers: (heartbeat.incarnation != 0).then_some(heartbeat.callers),
            mesh: heartbeat.mesh,
            health: self.health(),
            revision: heartbeat.revision,
            heard_ago,
            plan_shrunk: heartbeat.plan_shrunk,
            store_reached: heartbeat.store_reached,
            confirmation_age: confirmation_age.map(|(age, heard_ago)| age + heard_ago),
        }
    }

    fn is_leaving(&self) -> bool {
        self.heartbeat.leaving || self.is_leaving_in_list
    }

    fn time_since_heartbeat(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.sent_at.unwrap_or(self.first_known_at))
    }

    fn declare_gone(&mut self, at: Instant) {
        if self.health != MemberHealth::Gone {
            self.health = MemberHealth::Gone;
            self.dead_since = Some(at);
            self.lost_at = Some(at);
        }
    }
}
