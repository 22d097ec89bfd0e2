//! Handles requests of peers that pull or push configuration changes, whole states and floor plans.

use std::sync::Arc;

use coordination::floor_plan::FloorPlan;
use coordination::ids::DomainId;
use coordination::ids::Epoch;
use coordination::ids::HostId;
use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;
use tokio::sync::mpsc;

use crate::interface::PeerCaller;
use crate::interface::PeerError;
use crate::interface::PeerHandler;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::interface::PlanCell;
use crate::interface::WireChange;
use crate::membership::PeerHint;
use crate::mesh::MeshCaller;
use crate::state::ConfigurationReplica;
use crate::state::configuration_replica::ApplyOutcome;
use crate::state::plan_store::accept_plan;

/// Size limit of the changes in one answer or push, in bytes; a larger change is sent alone.
pub(crate) const MAX_CHANGE_BYTES: usize = 256 << 10;
/// Size of a piece of an encoded state in one answer, in bytes.
const STATE_PIECE_BYTES: usize = 512 << 10;
/// Largest number of changes or floor plans in one request; a request with more is refused.
const MAX_ITEMS_PER_REQUEST: usize = 4_096;

/// Handles requests of peers that pull or push configuration changes, whole states and floor plans.
pub struct StateHandler {
    replica: Arc<ConfigurationReplica>,
    plans: PlanCell,
    peers: MeshCaller,
    hints: mpsc::Sender<PeerHint>,
}

impl StateHandler {
    /// Creates a handler. If a peer pushes changes after a gap, the handler names that peer on `hints`, so that
    /// `PeerSync` pulls the missing ones from it.
    pub fn new(
        replica: Arc<ConfigurationReplica>,
        plans: PlanCell,
        peers: MeshCaller,
        hints: mpsc::Sender<PeerHint>,
    ) -> Self {
        Self { replica, plans, peers, hints }
    }

    fn answer(&self, from: &str, request: PeerRequest) -> Result<PeerReply, Box<str>> {
        match request {
            PeerRequest::PullChanges { after } => {
                let retained = self.replica.changes_after(after, MAX_CHANGE_BYTES);
                let changes = retained.unwrap_or_default();
                Ok(PeerReply::Changes { changes, latest: self.replica.revision() })
            }
            PeerRequest::PushChanges { changes } if changes.len() <= MAX_ITEMS_PER_REQUEST => {
                self.apply_pushed_changes(from, changes)
            }
            PeerRequest::PullState { offset } => self.state_piece(offset),
            PeerRequest::PullPlans { known } if known.len() <= MAX_ITEMS_PER_REQUEST => {
                Ok(PeerReply::Plans { plans: self.newer_plans(known) })
            }
            PeerRequest::PushPlans { plans } if plans.len() <= MAX_ITEMS_PER_REQUEST => {
                for plan in plans {
                    accept_plan(&self.plans, plan, from);
                }
                Ok(PeerReply::Done)
            }
            _ => Err("the request makes no sense here".into()),
        }
    }

    fn apply_pushed_changes(
        &self,
        from: &str,
        changes: Vec<WireChange>,
    ) -> Result<PeerReply, Box<str>> {
        let revision = changes.last().map_or(0, |change| change.revision);
        match self.replica.apply_changes(changes, from) {
            ApplyOutcome::Complete => Ok(PeerReply::Done),
            ApplyOutcome::Gap => {
                if let Some(member) = self.peers.members().member(from) {
                    let hint = PeerHint {
                        host: from.into(),
                        address: member.mesh,
                        revision,
                        has_different_plans: false,
                    };
                    let _ = self.hints.try_send(hint);
                }
                Ok(PeerReply::Done)
            }
            ApplyOutcome::Unreadable => Err("a change cannot be read here".into()),
        }
    }

    fn state_piece(&self, offset: u64) -> Result<PeerReply, Box<str>> {
        let (revision, encoded) =
            self.replica.encoded_state(offset > 0).ok_or("the state cannot be encoded")?;
        let total_bytes = encoded.len() as u64;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(encoded.len());
        let end = start.saturating_add(STATE_PIECE_BYTES).min(encoded.len());
        Ok(PeerReply::State { revision, encoded: encoded.slice(start..end), total_bytes })
    }

    fn newer_plans(&self, known: Vec<(DomainId, Epoch)>) -> Vec<FloorPlan> {
        let known: IndexMap<DomainId, Epoch> = known.into_iter().collect();
        let plans = self.plans.load();
        let newer = plans
            .values()
            .filter(|plan| known.get(&plan.domain).is_none_or(|epoch| *epoch < plan.epoch));
        newer.cloned().collect()
    }
}

impl PeerHandler for StateHandler {
    fn handle(
        &self,
        from: HostId,
        request: PeerRequest,
    ) -> BoxFuture<'_, Result<PeerReply, PeerError>> {
        async move {
            self.answer(&from, request)
                .map_err(|reason| PeerError::Refused { peer: from.clone(), reason })
        }
        .boxed()
    }
}
