//! State of an entry host: the configuration in force, targets, other hosts, and its shares of customers' quotas.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use coordination::admission_budget::AdmissionBudget;
use coordination::buffer_budget::BufferBounds;
use coordination::buffer_budget::BufferBudget;
use coordination::fleet::ConfigurationPosition;
use coordination::fleet::HostPhase;
use coordination::fleet::ReachChange;
use coordination::fleet::StateRoute;
use coordination::fleet::StateVersion;
use coordination::ids::Era;
use coordination::ids::RouteId;
use coordination::ids::TargetId;
use spdlog::info;
use spdlog::warn;
use tokio::sync::Notify;
use tokio::sync::watch;

use crate::entry::BoottimeClock;
use crate::entry::EntryConfiguration;
use crate::entry::EntryCore;
use crate::entry::EntryMetrics;
use crate::entry::snapshot_cache::SnapshotCache;
use crate::interface::SourceError;
use crate::interface::StateBatch;
use crate::interface::StateChange;
use crate::interface::StatePart;
use crate::interface::UnavailableSnafu;
use crate::membership::HostIdentity;
use crate::resources::ConnectionGate;
use crate::settings::EntryBounds;
use crate::settings::EntrySettings;

/// State of an entry host, shared by all of its tasks.
pub struct EntryState {
    pub(super) identity: HostIdentity,
    pub(super) settings: EntrySettings,
    metrics: EntryMetrics,
    buffers: Arc<BufferBudget>,
    gate: Arc<ConnectionGate>,
    pub(super) snapshots: SnapshotCache,
    bounds: ArcSwap<EntryBounds>,
    configuration: ArcSwapOption<EntryConfiguration>,
    change_count: watch::Sender<u64>,
    pub(super) catch_up: Notify,
    core: Mutex<EntryCore>,
    pub(super) started_at: Instant,
    clock: BoottimeClock,
}

impl EntryState {
    /// Creates the state of a host that has read nothing yet.
    pub fn new(identity: HostIdentity, settings: EntrySettings) -> Arc<Self> {
        let mut core = EntryCore::new(&identity, settings.expected_caller_share());
        core.apply_bounds(&settings.bounds);
        let budget = Arc::new(AdmissionBudget::new(settings.admission_bounds()));
        let buffers = BufferBudget::within(BufferBounds::default(), Arc::clone(&budget));
        Arc::new(Self {
            identity,
            metrics: EntryMetrics::default(),
            buffers: Arc::new(buffers),
            gate: ConnectionGate::new(budget),
            snapshots: SnapshotCache::default(),
            bounds: ArcSwap::from_pointee(settings.bounds.clone()),
            settings,
            configuration: ArcSwapOption::empty(),
            change_count: watch::Sender::new(0),
            catch_up: Notify::new(),
            core: Mutex::new(core),
            started_at: Instant::now(),
            clock: BoottimeClock::start(),
        })
    }

    /// The current moment of the clock for customers' quota tokens, which also advances while the machine is suspended.
    pub fn token_time(&self) -> Instant {
        self.clock.now()
    }

    /// Budget of the request bodies that this host buffers.
    pub fn buffers(&self) -> &Arc<BufferBudget> {
        &self.buffers
    }

    /// Gate through which all connections of the process pass.
    pub fn gate(&self) -> &Arc<ConnectionGate> {
        &self.gate
    }

    /// Name, location and addresses of this host.
    pub fn identity(&self) -> &HostIdentity {
        &self.identity
    }

    /// Settings that the host was started with; for bounds that may have changed since, use [`bounds`](Self::bounds).
    pub fn settings(&self) -> &EntrySettings {
        &self.settings
    }

    /// Bounds in force, which change with the settings file.
    pub fn bounds(&self) -> Arc<EntryBounds> {
        self.bounds.load_full()
    }

    /// Replaces the bounds in force.
    pub fn set_bounds(&self, bounds: EntryBounds) {
        self.lock().apply_bounds(&bounds);
        self.bounds.store(Arc::new(bounds));
    }

    /// Metrics that this host counts since its start.
    pub fn metrics(&self) -> &EntryMetrics {
        &self.metrics
    }

    /// Number of other hosts with a recent heartbeat, and number of known targets.
    pub fn host_and_target_counts(&self) -> (u64, u64) {
        let core = self.lock();
        let hosts = core.roster.live_hosts(Instant::now()).count();
        (hosts as u64, core.board.target_entries().count() as u64)
    }

    /// Configuration in force; `None` until the first one was read.
    pub fn configuration(&self) -> Option<Arc<EntryConfiguration>> {
        self.configuration.load_full()
    }

    /// Locks the state that routing decisions use. The lock must not be held across an `await`.
    pub fn lock(&self) -> MutexGuard<'_, EntryCore> {
        self.core.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a batch of changes to a part and wakes the hosts that follow this one. With `is_whole` the batch is the whole
    /// part, so that objects missing from it are removed; only such a batch may be of another era than the known state, and
    /// one of an earlier era changes nothing. After an outage of the store a target that went missing gets time to come back.
    pub fn apply_batch(&self, part: StatePart, batch: StateBatch, is_whole: bool) {
        let now = Instant::now();
        let mut core = self.lock();
        let known = core.histories[part as usize].version();
        if batch.era < known.era {
            return warn!("state of an earlier era is ignored", kv: {
                part: = part.name(), version: = batch.version(), known:
            });
        }
        let is_new_era = batch.era > known.era && known.revision > 0;
        if is_new_era {
            core.begin_era(part, batch.version(), now);
        }
        core.histories[part as usize].record(&batch, is_whole);
        if is_whole && part == StatePart::Targets {
            core.retain_listed_targets(&batch.changes, now);
        }
        if is_whole && part == StatePart::ClosedDomains {
            core.closed.clear_listed(is_new_era, now);
        }
        let latest_version = batch.latest_version();
        let mut newest = None;
        for change in batch.changes {
            match change {
                StateChange::Configuration(configuration) => newest = Some(configuration),
                change => core.apply_change(change, now),
            }
        }
        if let Some(configuration) = newest {
            self.apply_configuration(&mut core, *configuration, latest_version);
        }
        if part == StatePart::ClosedDomains {
            let closed = core.closed.domains();
            core.board.set_closed_domains(closed, now);
        }
        core.has_read_targets |= part == StatePart::Targets;
        core.record_applied(part, latest_version);
        drop(core);
        self.change_count.send_modify(|count| *count += 1);
    }

    /// The whole part as of now, in the form that other hosts read.
    pub fn snapshot(&self, part: StatePart) -> StateBatch {
        let core = self.lock();
        let changes = match part {
            StatePart::Configuration => {
                let known = self.configuration().map(|known| (*known).clone());
                known.into_iter().map(|known| StateChange::Configuration(Box::new(known))).collect()
            }
            // A target that this host keeps for a time is not in the store: no later change would remove it at the reader.
            StatePart::Targets => {
                let entries = core.board.target_entries();
                let listed =
                    entries.filter(|entry| !core.missing_targets.contains_key(&entry.target));
                listed.cloned().map(StateChange::Target).collect()
            }
            StatePart::ClosedDomains => {
                core.closed.listed().cloned().map(StateChange::DomainClosed).collect()
            }
        };
        let StateVersion { era, revision } = core.histories[part as usize].version();
        let StateVersion { era: latest_era, revision: latest } = core.applied(part);
        StateBatch { revision, era, latest, latest_era, changes, unreadable: 0 }
    }

    /// Waits at most `wait` until a configuration or a later one is in force, and returns whether it is.
    pub async fn wait_for_configuration(
        &self,
        position: ConfigurationPosition,
        wait: Duration,
    ) -> bool {
        let mut change_count = self.change_count.subscribe();
        let is_applied = || !position.supersedes(&self.lock().configuration_position());
        let applied = async { while !is_applied() && change_count.changed().await.is_ok() {} };
        tokio::time::timeout(wait, applied).await.is_ok()
    }

    /// Waits at most `wait` until a part was read for the first time, and returns whether it was. Until then an empty
    /// snapshot does not mean that the part is empty.
    pub async fn wait_for_part(&self, part: StatePart, wait: Duration) -> bool {
        let mut change_count = self.change_count.subscribe();
        let is_read = || self.lock().histories[part as usize].version().revision > 0;
        let read = async { while !is_read() && change_count.changed().await.is_ok() {} };
        tokio::time::timeout(wait, read).await.is_ok()
    }

    /// Waits until a part has changes after a state and returns them; the batch is empty if there are none after `wait`.
    ///
    /// # Errors
    ///
    /// Returns `HistoryGone` if the changes are no longer kept and the part must be read whole, and `Unavailable` once this
    /// host serves no others, so that those who wait here turn to another host. Without a wait the caller asks whether this
    /// host follows the store.
    pub async fn wait_for_changes(
        &self,
        part: StatePart,
        after: StateVersion,
        wait: Duration,
    ) -> Result<StateBatch, SourceError> {
        let end = Instant::now() + wait;
        let mut change_count = self.change_count.subscribe();
        loop {
            let (batch, is_served) = {
                let core = self.lock();
                let batch = core.histories[part as usize].changes_after(after);
                let contact = &core.store_contacts[part as usize];
                let is_served =
                    contact.follows_store() || !wait.is_zero() && contact.serves_watches();
                (batch, is_served)
            };
            let batch = batch.ok_or(SourceError::HistoryGone)?;
            if batch.changes.is_empty() && !is_served {
                return UnavailableSnafu { reason: "not following the store" }.fail();
            }
            let is_due = !batch.changes.is_empty() || Instant::now() >= end;
            if is_due || tokio::time::timeout_at(end.into(), change_count.changed()).await.is_err()
            {
                return Ok(batch);
            }
        }
    }

    /// Whether a whole part as read from another host is older than what this host has applied. Unlike the store, a host
    /// may be behind; applying its state would bring back targets that this host knows to leave.
    pub fn is_outdated(&self, part: StatePart, snapshot: &StateBatch) -> bool {
        self.lock().is_outdated(part, snapshot)
    }

    /// Applies another host's snapshot of a part if it is newer than the own state, and returns whether it was.
    pub fn apply_snapshot(&self, part: StatePart, snapshot: StateBatch) -> bool {
        let is_later = self.lock().is_later(part, &snapshot);
        if is_later {
            self.apply_batch(part, snapshot, true);
        }
        is_later
    }

    /// Latest change of a part that was applied; 0 before the first.
    pub fn applied(&self, part: StatePart) -> StateVersion {
        self.lock().applied(part)
    }

    /// Latest era of the store that this host or a live one has read.
    pub fn store_era(&self) -> Era {
        self.lock().store_era(Instant::now())
    }

    /// Records that a part was read or found unchanged, at the store or through a relay.
    pub fn record_answer(&self, part: StatePart, route: StateRoute) {
        let mut core = self.lock();
        core.last_answer_at[part as usize] = Instant::now();
        if route == StateRoute::Store {
            core.sightings.record_answer(Instant::now());
        }
        let contact = &mut core.store_contacts[part as usize];
        match route {
            StateRoute::Store => contact.record_answer(),
            StateRoute::Relay(_) => contact.record_relayed(),
        }
    }

    /// Records that the store is called for a part now.
    pub fn record_store_call(&self, part: StatePart) {
        self.lock().store_contacts[part as usize].record_call();
    }

    /// Records that a call to the store for a part failed.
    pub fn record_store_failure(&self, part: StatePart) {
        self.lock().store_contacts[part as usize].record_failure(Instant::now());
    }

    /// Records that a relay failed or refused a call, and wakes the hosts that follow this one.
    pub fn record_relay_failure(&self, part: StatePart) {
        self.lock().store_contacts[part as usize].record_relay_failure();
        self.change_count.send_modify(|count| *count += 1);
    }

    /// Age of the least recently confirmed part of the state. Without changes the store answers a watch only when the watch
    /// ends, so that some seconds are usual.
    pub fn state_age(&self) -> Duration {
        let oldest = self.lock().last_answer_at.into_iter().min();
        oldest.map_or(Duration::ZERO, |at| at.elapsed())
    }

    /// Whether the host serves new callers: it has read its state, has joined the fleet and is not shutting down.
    pub fn is_ready(&self) -> bool {
        self.lock().phase == HostPhase::Serving
    }

    /// Records that a connection to a target was opened, and logs that the host reaches targets again.
    pub fn record_opened(&self) {
        if self.lock().reach.record_opened() == ReachChange::Regained {
            info!("host reaches targets again", kv: { host: = self.identity.host });
        }
    }

    /// Records that a target could not be reached, and logs that the host reaches none any more.
    pub fn record_unreachable(&self, target: &TargetId) {
        let mut core = self.lock();
        let known = core.board.target_entries().count();
        if core.reach.record_unreachable(target, known, Instant::now()) == ReachChange::Lost {
            let EntryCore { reach, board, .. } = &mut *core;
            board.forget_failures(reach.unreachable_targets(), Instant::now());
            let tried = reach.unreachable_targets().count() as u64;
            warn!("host reaches no target", kv: { host: = self.identity.host, tried });
        }
    }

    /// Marks the host as leaving: it is no longer ready, and look-ups no longer return it.
    pub fn start_leaving(&self) {
        self.lock().phase = HostPhase::Leaving;
    }

    /// Runs the periodic work: updates readiness, removes lost hosts and expired targets, and rebalances quotas and
    /// placement.
    pub fn tick(&self) {
        let now = Instant::now();
        let has_configuration = self.configuration.load().is_some();
        let mut core = self.lock();
        self.update_joined(&mut core, now);
        let is_ready = has_configuration && core.has_read_targets && core.has_joined;
        if core.phase == HostPhase::Starting && is_ready {
            core.phase = HostPhase::Serving;
            let applied = core.applied.map(|version| version.revision);
            info!("host is ready", kv: { host: = self.identity.host, applied:? });
        }
        core.update_outage(now);
        core.remove_expired_targets(now);
        core.board.release_held_targets(now);
        if core.closed.release(now) {
            let closed = core.closed.domains();
            core.board.set_closed_domains(closed, now);
        }
        core.roster.prune(now);
        core.crashes.prune(now);
        self.rebalance(&mut core, now);
        self.update_placement(&mut core, now);
    }

    fn apply_configuration(
        &self,
        core: &mut EntryCore,
        configuration: EntryConfiguration,
        stored_at: StateVersion,
    ) {
        let applied = core.applied(StatePart::Configuration);
        let position = ConfigurationPosition { stored_at, number: configuration.number };
        if !position.supersedes(&core.configuration_position()) {
            let in_force = self.configuration().map(|known| known.version.clone());
            if in_force.as_ref() != Some(&configuration.version) {
                info!("configuration not applied", kv: {
                    version: = configuration.version, stored_at:, applied:, in_force:?
                });
            }
            return;
        }
        info!("configuration applied", kv: {
            version: = configuration.version,
            revision = stored_at.revision,
            era = stored_at.era,
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
        core.route_splits.retain(|route, _| is_known(route));
        core.applied[StatePart::Configuration as usize] = stored_at;
        core.configuration_number = configuration.number;
        self.configuration.store(Some(Arc::new(configuration)));
    }
}
