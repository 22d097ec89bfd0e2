//! Fetches from peers what this host lacks.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use coordination::ids::Revision;
use spdlog::warn;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::interface::PlanCell;
use crate::membership::PeerHint;
use crate::mesh::MeshCaller;
use crate::state::ConfigurationKeeper;
use crate::state::configuration_keeper::TakeOutcome;
use crate::state::plan_store::take_plan;
use crate::state::state_snapshot::decode_state;

/// Longest wait for an answer.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two questions for floor plans.
const PLAN_INTERVAL: Duration = Duration::from_millis(500);
/// Answers that are read for one hint.
const MAX_PULLS: usize = 64;
/// Largest state that is taken from a peer, in bytes.
const MAX_STATE_BYTES: u64 = 48 << 20;

/// Fetches from peers what this host lacks.
pub struct PeerSync {
    keeper: Arc<ConfigurationKeeper>,
    plans: PlanCell,
    peers: MeshCaller,
    hints: mpsc::Receiver<PeerHint>,
    plans_asked: Option<Instant>,
}

impl PeerSync {
    /// A task that follows hints.
    pub fn new(
        keeper: Arc<ConfigurationKeeper>,
        plans: PlanCell,
        peers: MeshCaller,
        hints: mpsc::Receiver<PeerHint>,
    ) -> Self {
        Self { keeper, plans, peers, hints, plans_asked: None }
    }

    /// Fetches until the task is dropped.
    pub async fn run(mut self) {
        while let Some(hint) = self.hints.recv().await {
            let plans_due = self.plans_asked.is_none_or(|at| at.elapsed() >= PLAN_INTERVAL);
            if hint.has_different_plans && plans_due {
                self.plans_asked = Some(Instant::now());
                self.pull_plans(&hint).await;
            }
            if hint.revision > self.keeper.revision() {
                self.pull_changes(&hint).await;
            }
        }
    }

    async fn pull_plans(&self, hint: &PeerHint) {
        let known =
            self.plans.load().values().map(|plan| (plan.domain.clone(), plan.epoch)).collect();
        let reply = self.call(hint, PeerRequest::PullPlans { known }).await;
        let Some(PeerReply::Plans { plans }) = reply else { return };
        for plan in plans {
            take_plan(&self.plans, plan, &hint.host);
        }
    }

    async fn pull_changes(&self, hint: &PeerHint) {
        for _ in 0..MAX_PULLS {
            let after = self.keeper.revision();
            let reply = self.call(hint, PeerRequest::PullChanges { after }).await;
            let Some(PeerReply::Changes { changes, latest }) = reply else { return };
            if latest <= after {
                return;
            }
            let outcome = match changes.is_empty() {
                true => TakeOutcome::Gap,
                false => self.keeper.take(changes, &hint.host),
            };
            match outcome {
                TakeOutcome::Complete => {}
                TakeOutcome::Gap => return self.pull_state(hint).await,
                TakeOutcome::Unreadable => return,
            }
        }
    }

    async fn pull_state(&self, hint: &PeerHint) {
        let mut whole = BytesMut::new();
        let mut pulled: Option<(Revision, u64)> = None;
        for _ in 0..MAX_PULLS {
            let offset = whole.len() as u64;
            let reply = self.call(hint, PeerRequest::PullState { offset }).await;
            let Some(PeerReply::State { revision, encoded, total_bytes }) = reply else { return };
            let fits = *pulled.get_or_insert((revision, total_bytes)) == (revision, total_bytes);
            if !fits || total_bytes > MAX_STATE_BYTES || encoded.is_empty() {
                return warn!("state of a peer not taken", kv: { peer: = hint.host, total_bytes });
            }
            whole.extend_from_slice(&encoded);
            if whole.len() as u64 >= total_bytes {
                return self.take_state(hint, revision, &whole);
            }
        }
    }

    fn take_state(&self, hint: &PeerHint, revision: Revision, whole: &[u8]) {
        match decode_state(whole) {
            Ok(state) if state.revision == revision => {
                self.keeper.take_state(state, &hint.host);
            }
            Ok(_) => warn!("state of a peer has another revision", kv: { peer: = hint.host }),
            Err(error) => {
                warn!("state of a peer refused", kv: { peer: = hint.host, reason: = error });
            }
        }
    }

    async fn call(&self, hint: &PeerHint, request: PeerRequest) -> Option<PeerReply> {
        self.peers.call_address(&hint.host, hint.address, request, PULL_TIMEOUT).await.ok()
    }
}
