//! Follows the store: relays always do, other hosts only while no relay confirms their state.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use spdlog::warn;
use tokio::sync::watch;

use crate::configuration::ConfigurationState;
use crate::interface::FreshnessCell;
use crate::interface::ObjectStore;
use crate::interface::PlanCell;
use crate::interface::StoreError;
use crate::state::ConfigurationReplica;
use crate::state::PLAN_PREFIX;
use crate::state::SnapshotStore;
use crate::state::StoreReader;
use crate::state::plan_store::accept_plans;
use crate::state::plan_store::read_plans;
use crate::state::snapshot_store::SNAPSHOT_INTERVAL;

/// Longest wait of a watch by the first relay; its answer confirms the state of keys.
const FIRST_RELAY_WATCH_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest wait of a watch by the second relay.
const SECOND_RELAY_WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest wait of a watch for floor plans.
const PLAN_WATCH_TIMEOUT: Duration = Duration::from_secs(20);
/// Mean delay after a failed call; the circuit breaker of the store client adds longer ones.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Mean time after its start in which a host waits for its peers' state before it asks the store.
const PEER_SYNC_DELAY: Duration = Duration::from_millis(600);
/// Age of the key confirmation from which a host that is no relay asks the store itself.
const FALLBACK_AGE: Duration = Duration::from_secs(2);
/// Mean time between two checks of the key confirmation's age on a host that is no relay.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the configuration log and the floor plans in the store.
pub struct StoreFollower {
    store: Arc<dyn ObjectStore>,
    reader: StoreReader,
    snapshots: SnapshotStore,
    replica: Arc<ConfigurationReplica>,
    plans: PlanCell,
    freshness: FreshnessCell,
    rank: watch::Receiver<Option<usize>>,
}

impl StoreFollower {
    /// Creates a follower. `rank` is this host's rank among the relays of its failure domain, from 0, or `None` while
    /// it is no relay.
    pub fn new(
        store: Arc<dyn ObjectStore>,
        replica: Arc<ConfigurationReplica>,
        plans: PlanCell,
        freshness: FreshnessCell,
        rank: watch::Receiver<Option<usize>>,
    ) -> Arc<Self> {
        let reader = StoreReader::new(Arc::clone(&store), Arc::clone(&replica), freshness.clone());
        let snapshots = SnapshotStore::new(Arc::clone(&store));
        Arc::new(Self { store, reader, snapshots, replica, plans, freshness, rank })
    }

    /// Follows the configuration log until the task is dropped.
    pub async fn follow_configuration(self: Arc<Self>) {
        tokio::time::sleep(jittered(PEER_SYNC_DELAY)).await;
        loop {
            let rank = *self.rank.borrow();
            let result = match rank {
                Some(_) => self.watch_log().await,
                None => self.catch_up_without_relay().await,
            };
            if let Err(error) = result {
                warn!("configuration log not followed", kv: { reason: = error });
                tokio::time::sleep(jittered(RETRY_DELAY)).await;
            }
        }
    }

    /// Follows the floor plans while this host is a relay, until the task is dropped.
    pub async fn follow_plans(self: Arc<Self>) {
        let mut rank = self.rank.clone();
        loop {
            if rank.wait_for(Option::is_some).await.is_err() {
                return;
            }
            if let Err(error) = self.watch_plans().await {
                warn!("floor plans not followed", kv: { reason: = error });
                tokio::time::sleep(jittered(RETRY_DELAY)).await;
            }
        }
    }

    /// Writes snapshots and trims the log while this host is the first relay of its failure domain, until the task is
    /// dropped.
    pub async fn write_snapshots(self: Arc<Self>) {
        let mut states = self.replica.cell().subscribe();
        let mut attempted_revision = 0;
        loop {
            let snapshot_due =
                states.wait_for(|state| state.revision >= attempted_revision + SNAPSHOT_INTERVAL);
            if snapshot_due.await.is_err() {
                return;
            }
            let state = self.replica.cell().load();
            attempted_revision = state.revision;
            if *self.rank.borrow() != Some(0) {
                continue;
            }
            tokio::time::sleep(jittered(RETRY_DELAY)).await;
            if let Err(error) = self.write_snapshot(&state).await {
                warn!("snapshot not written", kv: { revision = state.revision, reason: = error });
            }
        }
    }

    async fn write_snapshot(&self, state: &ConfigurationState) -> Result<(), StoreError> {
        if self.snapshots.write_snapshot(state).await? {
            while self.snapshots.trim_log().await? {}
        }
        Ok(())
    }

    /// Watches the log until this host is no relay any more.
    async fn watch_log(&self) -> Result<(), StoreError> {
        let mut version = self.reader.catch_up().await?;
        loop {
            let wait = match *self.rank.borrow() {
                Some(0) => FIRST_RELAY_WATCH_TIMEOUT,
                Some(_) => SECOND_RELAY_WATCH_TIMEOUT,
                None => return Ok(()),
            };
            version = match self.reader.watch(version, wait).await? {
                Some(version) => version,
                None => self.reader.catch_up().await?,
            };
        }
    }

    /// Reads the store if no relay has confirmed the state of keys for `FALLBACK_AGE`, nor does so within a further
    /// random delay.
    async fn catch_up_without_relay(&self) -> Result<(), StoreError> {
        let age = self.freshness.age(Instant::now());
        if age.is_none_or(|age| age >= FALLBACK_AGE) {
            tokio::time::sleep(jittered(FALLBACK_AGE)).await;
            let age = self.freshness.age(Instant::now());
            if age.is_none_or(|age| age >= FALLBACK_AGE) {
                self.reader.catch_up().await?;
            }
        }
        tokio::time::sleep(jittered(RELAY_CHECK_INTERVAL)).await;
        Ok(())
    }

    async fn watch_plans(&self) -> Result<(), StoreError> {
        let mut version = read_plans(&*self.store, &self.plans).await?;
        while self.rank.borrow().is_some() {
            let batch = self.store.watch(PLAN_PREFIX, version, PLAN_WATCH_TIMEOUT).await?;
            version = batch.version;
            accept_plans(&self.plans, batch);
        }
        Ok(())
    }
}

fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::rng().random_range(0.5..1.5))
}
