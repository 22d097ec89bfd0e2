//! Pulls from peers the changes, states and floor plans that this host lacks.

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
use crate::state::ConfigurationReplica;
use crate::state::configuration_replica::ApplyOutcome;
use crate::state::plan_store::accept_plan;
use crate::state::state_snapshot::decode_state;

/// Time limit for a peer to answer a pull.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest time between two pulls of floor plans.
const PLAN_PULL_INTERVAL: Duration = Duration::from_millis(500);
/// Largest number of pulls of changes for one hint, and of pieces of a state.
const MAX_PULLS_PER_HINT: usize = 64;
/// Size limit of an encoded state from a peer, in bytes.
const MAX_STATE_BYTES: u64 = 48 << 20;

/// Pulls from peers the changes, states and floor plans that this host lacks.
pub struct PeerSync {
    replica: Arc<ConfigurationReplica>,
    plans: PlanCell,
    peers: MeshCaller,
    hints: mpsc::Receiver<PeerHint>,
    plans_pulled_at: Option<Instant>,
}

impl PeerSync {
    /// Creates the task; each hint names a peer that has something this host lacks.
    pub fn new(
        replica: Arc<ConfigurationReplica>,
        plans: PlanCell,
        peers: MeshCaller,
        hints: mpsc::Receiver<PeerHint>,
    ) -> Self {
        Self { replica, plans, peers, hints, plans_pulled_at: None }
    }

    /// Handles hints one after the other until all of their senders are dropped.
    pub async fn run(mut self) {
        while let Some(hint) = self.hints.recv().await {
            let is_plan_pull_due =
                self.plans_pulled_at.is_none_or(|at| at.elapsed() >= PLAN_PULL_INTERVAL);
            if hint.has_different_plans && is_plan_pull_due {
                self.plans_pulled_at = Some(Instant::now());
                self.pull_plans(&hint).await;
            }
            if hint.revision > self.replica.revision() {
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
            accept_plan(&self.plans, plan, &hint.host);
        }
    }

    async fn pull_changes(&self, hint: &PeerHint) {
        for _ in 0..MAX_PULLS_PER_HINT {
            let after = self.replica.revision();
            let reply = self.call(hint, PeerRequest::PullChanges { after }).await;
            let Some(PeerReply::Changes { changes, latest }) = reply else { return };
            if latest <= after {
                return;
            }
            let outcome = match changes.is_empty() {
                true => ApplyOutcome::Gap,
                false => self.replica.apply_changes(changes, &hint.host),
            };
            match outcome {
                ApplyOutcome::Complete => {}
                ApplyOutcome::Gap => return self.pull_state(hint).await,
                ApplyOutcome::Unreadable => return,
            }
        }
    }

    async fn pull_state(&self, hint: &PeerHint) {
        let mut encoded_state = BytesMut::new();
        let mut first_piece: Option<(Revision, u64)> = None;
        for _ in 0..MAX_PULLS_PER_HINT {
            let offset = encoded_state.len() as u64;
            let reply = self.call(hint, PeerRequest::PullState { offset }).await;
            let Some(PeerReply::State { revision, encoded, total_bytes }) = reply else { return };
            let is_same_state =
                *first_piece.get_or_insert((revision, total_bytes)) == (revision, total_bytes);
            if !is_same_state || total_bytes > MAX_STATE_BYTES || encoded.is_empty() {
                return warn!("state of a peer not accepted: changed, too large or cut short", kv: {
                    peer: = hint.host, total_bytes
                });
            }
            encoded_state.extend_from_slice(&encoded);
            if encoded_state.len() as u64 >= total_bytes {
                return self.apply_pulled_state(hint, revision, &encoded_state);
            }
        }
    }

    fn apply_pulled_state(&self, hint: &PeerHint, revision: Revision, encoded_state: &[u8]) {
        match decode_state(encoded_state) {
            Ok(state) if state.revision == revision => {
                self.replica.replace_state(state, &hint.host);
            }
            Ok(_) => {
                warn!("state of a peer not accepted: not of the announced revision", kv: {
                    peer: = hint.host
                })
            }
            Err(error) => {
                warn!("state of a peer refused", kv: { peer: = hint.host, reason: = error });
            }
        }
    }

    async fn call(&self, hint: &PeerHint, request: PeerRequest) -> Option<PeerReply> {
        self.peers.call_address(&hint.host, hint.address, request, PULL_TIMEOUT).await.ok()
    }
}
