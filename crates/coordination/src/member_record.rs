//! What is known about one member.

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
use crate::member_table::HearingTime;
use crate::member_view::MemberEntry;
use crate::member_view::MemberHealth;

/// Hearings after a suspicion until the member counts as live again.
const HEARINGS_TO_RECOVER: u32 = 3;
/// Most doublings of the silence that is suspicious, for a member that was suspected without cause.
const MAX_DOUBLINGS: u32 = 2;
/// Time without a suspicion after which one doubling is taken back.
const CALM_AFTER: Duration = Duration::from_secs(60);
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// What is known about one member.
#[derive(Clone, Debug)]
pub(crate) struct MemberRecord {
    heartbeat: Heartbeat,
    said_at: Option<Instant>,
    surely_after: Option<Instant>,
    cut_off_since: Option<Instant>,
    loss: Option<Instant>,
    known_since: Instant,
    health: MemberHealth,
    dead_since: Option<Instant>,
    listed: bool,
    missing: u32,
    list_leaving: bool,
    doublings: u32,
    hearings: u32,
    calm_since: Instant,
}

impl MemberRecord {
    pub(crate) fn from_heartbeat(heartbeat: Heartbeat, time: HearingTime) -> Self {
        Self {
            cut_off_since: time.surely_after.filter(|_| !heartbeat.store_reached),
            loss: None,
            heartbeat,
            said_at: Some(time.said_at),
            surely_after: time.surely_after,
            known_since: time.said_at,
            health: MemberHealth::Live,
            dead_since: None,
            listed: false,
            missing: 0,
            list_leaving: false,
            doublings: 0,
            hearings: 0,
            calm_since: time.said_at,
        }
    }

    pub(crate) fn from_row(row: &ListedHost, now: Instant) -> Self {
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
        let time = HearingTime { said_at: now, surely_after: None };
        Self {
            said_at: None,
            health: MemberHealth::Suspect,
            listed: true,
            list_leaving: row.leaving,
            ..Self::from_heartbeat(heartbeat, time)
        }
    }

    pub(crate) fn host(&self) -> &str {
        &self.heartbeat.host
    }

    pub(crate) fn failure_domain(&self) -> &str {
        &self.heartbeat.failure_domain
    }

    pub(crate) fn callee(&self) -> (HostId, Incarnation, SocketAddr) {
        (self.heartbeat.host.clone(), self.heartbeat.incarnation, self.heartbeat.mesh)
    }

    /// Whether it is known for no longer than `within`, and was never heard.
    pub(crate) fn is_unheard_since(&self, now: Instant, within: Duration) -> bool {
        self.said_at.is_none() && now.saturating_duration_since(self.known_since) <= within
    }

    /// Health, with leaving above live.
    pub(crate) fn health(&self) -> MemberHealth {
        match self.health {
            MemberHealth::Live if self.is_leaving() => MemberHealth::Leaving,
            health => health,
        }
    }

    /// Takes a later saying; returns whether it was one.
    pub(crate) fn heard(&mut self, heartbeat: Heartbeat, time: HearingTime) -> bool {
        match heartbeat.incarnation.cmp(&self.heartbeat.incarnation) {
            std::cmp::Ordering::Less => return false,
            std::cmp::Ordering::Greater => {
                let had_process = self.heartbeat.incarnation != 0;
                let loss = had_process.then_some(time.said_at);
                let listed = self.listed;
                *self = Self { listed, loss, ..Self::from_heartbeat(heartbeat, time) };
                return true;
            }
            std::cmp::Ordering::Equal => {}
        }
        let revived = match (self.dead_since, time.surely_after) {
            (Some(dead_since), Some(surely_after)) => surely_after > dead_since,
            (Some(_), None) => false,
            (None, _) => true,
        };
        self.surely_after = self.surely_after.max(time.surely_after);
        if !revived || self.said_at.is_some_and(|said_at| time.said_at <= said_at) {
            return false;
        }
        match time.surely_after {
            _ if heartbeat.store_reached => self.cut_off_since = None,
            Some(at) => self.cut_off_since = self.cut_off_since.max(Some(at)),
            None => {}
        }
        self.merge(heartbeat);
        self.said_at = Some(time.said_at);
        self.count_hearing(time.said_at);
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

    fn count_hearing(&mut self, now: Instant) {
        if self.health == MemberHealth::Live {
            return;
        }
        self.hearings += 1;
        if self.dead_since.take().is_some() || self.hearings >= HEARINGS_TO_RECOVER {
            self.health = MemberHealth::Live;
            self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
            self.calm_since = now;
        }
    }

    pub(crate) fn missing_from_list(&mut self) {
        self.missing = self.missing.saturating_add(1);
    }

    pub(crate) fn listed(&mut self, row: &ListedHost) {
        self.listed = true;
        self.missing = 0;
        self.list_leaving = row.leaving;
        if self.heartbeat.incarnation == 0 {
            self.heartbeat.mesh = row.mesh;
        }
    }

    pub(crate) fn judge_list(&mut self, missing_lists: u32, silence: Duration, now: Instant) {
        if !self.listed || self.missing < missing_lists {
            return;
        }
        match self.silence(now) <= silence {
            true => self.list_leaving = true,
            false => self.declare_gone(now),
        }
    }

    pub(crate) fn refused(&mut self, incarnation: Incarnation, started: Instant) {
        let heard_later = self.surely_after.is_some_and(|at| at > started);
        if incarnation != 0 && incarnation == self.heartbeat.incarnation && !heard_later {
            self.declare_gone(started);
        }
    }

    pub(crate) fn judge_silence(&mut self, silence: Duration, now: Instant) {
        if now.saturating_duration_since(self.calm_since) >= CALM_AFTER {
            self.doublings = self.doublings.saturating_sub(1);
            self.calm_since = now;
        }
        let bound = silence * (1 << self.doublings);
        if self.silence(now) > bound {
            self.hearings = 0;
            if self.health == MemberHealth::Live {
                self.health = MemberHealth::Suspect;
                self.calm_since = now;
            }
        }
    }

    pub(crate) fn is_forgotten(&self, after: Duration, now: Instant) -> bool {
        let unlisted = !self.listed || self.missing > 0;
        match self.health {
            MemberHealth::Gone => self
                .dead_since
                .is_some_and(|dead_since| now.saturating_duration_since(dead_since) > after),
            _ => unlisted && self.silence(now) > after,
        }
    }

    /// What it said last, to be passed on; `None` if it never said anything or is gone.
    pub(crate) fn hearing(&self, now: Instant) -> Option<HeardHeartbeat> {
        match self.said_at {
            Some(said_at) if self.health != MemberHealth::Gone => Some(HeardHeartbeat {
                heartbeat: self.heartbeat.clone(),
                age: now.saturating_duration_since(said_at),
            }),
            _ => None,
        }
    }

    /// Time after which it surely said that the store takes no change of it, and since when it said nothing else.
    pub(crate) fn cut_off_since(&self) -> Option<Instant> {
        self.cut_off_since
    }

    /// Revision in force there when it was last heard.
    pub(crate) fn revision(&self) -> Revision {
        self.heartbeat.revision
    }

    /// Takes note, once, that a process of this member was lost, with the time.
    pub(crate) fn take_loss(&mut self) -> Option<Instant> {
        self.loss.take()
    }

    pub(crate) fn entry(&self, now: Instant) -> MemberEntry {
        let heartbeat = &self.heartbeat;
        let heard_ago = self.said_at.map(|said_at| now.saturating_duration_since(said_at));
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
        self.heartbeat.leaving || self.list_leaving
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.said_at.unwrap_or(self.known_since))
    }

    fn declare_gone(&mut self, at: Instant) {
        if self.health != MemberHealth::Gone {
            self.health = MemberHealth::Gone;
            self.dead_since = Some(at);
            self.loss = Some(at);
        }
    }
}
