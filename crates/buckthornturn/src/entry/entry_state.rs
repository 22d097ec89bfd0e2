//! What an entry host knows: configuration in force, targets, other hosts, and its parts of the limits.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use coordination::fleet::HostPhase;
use coordination::ids::Revision;
use coordination::ids::RouteId;
use spdlog::info;
use tokio::sync::watch;

use crate::entry::EntryConfiguration;
use crate::entry::EntryCore;
use crate::entry::EntryMetrics;
use crate::entry::StandstillClock;
use crate::interface::StateBatch;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::membership::HostIdentity;
use crate::settings::EntryBounds;
use crate::settings::EntrySettings;

/// What an entry host knows.
pub struct EntryState {
    pub(super) own: HostIdentity,
    pub(super) settings: EntrySettings,
    metrics: EntryMetrics,
    bounds: ArcSwap<EntryBounds>,
    configuration: ArcSwapOption<EntryConfiguration>,
    changed: watch::Sender<u64>,
    core: Mutex<EntryCore>,
    pub(super) started_at: Instant,
    clock: StandstillClock,
}

impl EntryState {
    /// The state of a host that knows nothing yet.
    pub fn new(own: HostIdentity, settings: EntrySettings) -> Arc<Self> {
        let core = Mutex::new(EntryCore::new(&own, settings.callers_part()));
        Arc::new(Self {
            own,
            metrics: EntryMetrics::default(),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
            configuration: ArcSwapOption::empty(),
            changed: watch::Sender::new(0),
            core,
            started_at: Instant::now(),
            clock: StandstillClock::start(),
        })
    }

    /// The moment now by the clock that customers' tokens go by.
    pub fn token_time(&self) -> Instant {
        self.clock.now()
    }

    /// Names and addresses of this host.
    pub fn own(&self) -> &HostIdentity {
        &self.own
    }

    /// Settings at the start.
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Bounds in force; they follow the settings file.
    pub fn bounds(&self) -> Arc<EntryBounds> {
        self.bounds.load_full()
    }

    /// Puts other bounds in force.
    pub fn set_bounds(&self, bounds: EntryBounds) {
        self.bounds.store(Arc::new(bounds));
    }

    /// Metrics.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Numbers of other hosts heard lately and of targets known.
    pub fn counts(&self) -> (u64, u64) {
        let core = self.lock();
        let hosts = core.roster.live_hosts(Instant::now()).count();
        (hosts as u64, core.board.target_entries().count() as u64)
    }

    /// Configuration in force; `None` until one is known.
    pub fn configuration(&self) -> Option<Arc<EntryConfiguration>> {
        self.configuration.load_full()
    }

    /// What the host decides by. The lock must not be held over a wait.
    pub fn lock(&self) -> MutexGuard<'_, EntryCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies changes and tells hosts that follow this one. With `is_whole` they are all there is of the part, and what is not among them is gone. With
    /// `is_outage` the store was away lately, and a target that vanished may come back.
    pub fn apply(&self, part: StatePart, batch: StateBatch, is_whole: bool, is_outage: bool) {
        let now = Instant::now();
        let mut core = self.lock();
        core.histories[part as usize].note(&batch, is_whole);
        if is_whole && part == StatePart::Targets {
            core.retain_targets(&batch.changes, is_outage, now);
        }
        if is_whole && part == StatePart::ClosedDomains {
            core.closed.clear();
        }
        for change in batch.changes {
            match change {
                StateChange::Configuration(configuration) => {
                    self.put_configuration(&mut core, configuration, batch.latest);
                }
                StateChange::Target(entry) => core.put_target(entry, now),
                StateChange::TargetGone(target) => core.target_gone(target, is_outage, now),
                StateChange::DomainClosed(domain) => drop(core.closed.insert(domain)),
                StateChange::DomainOpened(domain) => drop(core.closed.shift_remove(&domain)),
            }
        }
        if part == StatePart::ClosedDomains {
            let closed = core.closed.clone();
            core.board.set_closed_domains(closed, now);
        }
        core.has_targets |= part == StatePart::Targets;
        let applied = &mut core.applied[part as usize];
        *applied = batch.latest.max(*applied);
        drop(core);
        self.changed.send_modify(|count| *count += 1);
    }

    /// One part whole, as other hosts get it.
    pub fn snapshot(&self, part: StatePart) -> StateBatch {
        let core = self.lock();
        let changes = match part {
            StatePart::Configuration => {
                let known = self.configuration().map(|known| (*known).clone());
                known.into_iter().map(StateChange::Configuration).collect()
            }
            StatePart::Targets => {
                core.board.target_entries().cloned().map(StateChange::Target).collect()
            }
            StatePart::ClosedDomains => {
                core.closed.iter().cloned().map(StateChange::DomainClosed).collect()
            }
        };
        let revision = core.histories[part as usize].revision();
        StateBatch { revision, latest: core.applied(part), changes }
    }

    /// Waits until a part was read whole, at most for `wait`; returns whether it was. Before, an empty part says nothing.
    pub async fn wait_for_part(&self, part: StatePart, wait: Duration) -> bool {
        let mut changed = self.changed.subscribe();
        let is_read = || self.lock().histories[part as usize].revision() > 0;
        let read = async { while !is_read() && changed.changed().await.is_ok() {} };
        tokio::time::timeout(wait, read).await.is_ok()
    }

    /// Changes of a part after a revision, as soon as there are some, at the latest after `wait`; `None` if they are no
    /// longer known.
    pub async fn wait_for_changes(
        &self,
        part: StatePart,
        after: Revision,
        wait: Duration,
    ) -> Option<StateBatch> {
        let end = Instant::now() + wait;
        let mut changed = self.changed.subscribe();
        loop {
            let batch = self.lock().histories[part as usize].after(after)?;
            let is_due = !batch.changes.is_empty() || Instant::now() >= end;
            if is_due || tokio::time::timeout_at(end.into(), changed.changed()).await.is_err() {
                return Some(batch);
            }
        }
    }

    /// Applies what another host knows of a part, if it is later.
    pub fn apply_snapshot(&self, part: StatePart, snapshot: StateBatch) -> bool {
        let is_later = snapshot.latest > self.applied(part);
        if is_later {
            self.apply(part, snapshot, true, false);
        }
        is_later
    }

    /// Revision of the latest change of a part that was applied.
    pub fn applied(&self, part: StatePart) -> Revision {
        self.lock().applied(part)
    }

    /// Takes note of whether the latest call for a part was answered.
    pub fn set_reached(&self, part: StatePart, is_reached: bool) {
        let mut core = self.lock();
        core.unreached[part as usize] = !is_reached;
        if is_reached {
            core.heard_at[part as usize] = Instant::now();
        }
    }

    /// Time since the part of the state that was heard of least lately was heard of. A quiet store answers a watch only
    /// when it ends, so some seconds are usual.
    pub fn state_age(&self) -> Duration {
        let oldest = self.lock().heard_at.into_iter().min();
        oldest.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether new callers can be served.
    pub fn is_ready(&self) -> bool {
        self.lock().phase == HostPhase::Serving
    }

    /// The host leaves: it is no longer ready and look-ups do not name it.
    pub fn leave(&self) {
        self.lock().phase = HostPhase::Leaving;
    }

    /// Does what time brings: hosts and targets that are gone, shares of limits, whether this host is ready.
    pub fn tick(&self) {
        let now = Instant::now();
        let has_configuration = self.configuration.load().is_some();
        let mut core = self.lock();
        self.join(&mut core, now);
        let is_ready = has_configuration && core.has_targets && core.has_joined;
        if core.phase == HostPhase::Starting && is_ready {
            core.phase = HostPhase::Serving;
            info!("host is ready", kv: { host: = self.own.host, applied:? = core.applied });
        }
        core.drop_vanished(now);
        core.roster.prune(now);
        self.rebalance(&mut core, now);
        self.tell_board(&mut core, now);
    }

    fn put_configuration(
        &self,
        core: &mut EntryCore,
        configuration: EntryConfiguration,
        revision: Revision,
    ) {
        if revision <= core.applied[StatePart::Configuration as usize] {
            return;
        }
        info!("configuration applied", kv: {
            version: = configuration.version,
            revision:,
            customers = configuration.customers.len() as u64,
            keys = configuration.keys.len() as u64
        });
        let services = configuration.services.iter();
        core.board.set_services(
            services.map(|(name, spec)| (name.clone(), spec.cold_rate, spec.cold_time)),
        );
        let customers = configuration.customers.iter();
        let limits = customers.map(|(name, customer)| (name.clone(), customer.limit));
        core.quotas.set_limits(limits, self.token_time());
        let is_known = |route: &RouteId| {
            configuration.routes.values().flatten().any(|known| known.name == *route)
        };
        core.splits.retain(|route, _| is_known(route));
        self.configuration.store(Some(Arc::new(configuration)));
    }
}
