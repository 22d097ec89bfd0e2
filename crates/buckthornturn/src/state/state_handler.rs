//! Answers peers that ask for or send changes, states and floor plans.

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
use crate::state::ConfigurationKeeper;
use crate::state::configuration_keeper::TakeOutcome;
use crate::state::plan_store::take_plan;

/// Bytes of changes in one answer.
pub(crate) const MAX_CHANGE_BYTES: usize = 256 << 10;
/// Bytes of a state in one answer.
const STATE_PIECE_BYTES: usize = 512 << 10;
/// Changes or plans that are taken from one request.
const MAX_ITEMS: usize = 4_096;

/// Answers peers that ask for or send changes, states and floor plans.
pub struct StateHandler {
    keeper: Arc<ConfigurationKeeper>,
    plans: PlanCell,
    peers: MeshCaller,
    hints: mpsc::Sender<PeerHint>,
}

impl StateHandler {
    /// A handler that hints at peers which have what is missing here.
    pub fn new(
        keeper: Arc<ConfigurationKeeper>,
        plans: PlanCell,
        peers: MeshCaller,
        hints: mpsc::Sender<PeerHint>,
    ) -> Self {
        Self { keeper, plans, peers, hints }
    }

    fn answer(&self, from: &str, request: PeerRequest) -> Result<PeerReply, Box<str>> {
        match request {
            PeerRequest::PullChanges { after } => {
                let kept = self.keeper.changes_after(after, MAX_CHANGE_BYTES);
                let changes = kept.unwrap_or_default();
                Ok(PeerReply::Changes { changes, latest: self.keeper.revision() })
            }
            PeerRequest::PushChanges { changes } if changes.len() <= MAX_ITEMS => {
                self.take_changes(from, changes)
            }
            PeerRequest::PullState { offset } => self.state_piece(offset),
            PeerRequest::PullPlans { known } if known.len() <= MAX_ITEMS => {
                Ok(PeerReply::Plans { plans: self.later_plans(known) })
            }
            PeerRequest::PushPlans { plans } if plans.len() <= MAX_ITEMS => {
                for plan in plans {
                    take_plan(&self.plans, plan, from);
                }
                Ok(PeerReply::Done)
            }
            _ => Err("the request makes no sense here".into()),
        }
    }

    fn take_changes(&self, from: &str, changes: Vec<WireChange>) -> Result<PeerReply, Box<str>> {
        let revision = changes.last().map_or(0, |change| change.revision);
        match self.keeper.take(changes, from) {
            TakeOutcome::Complete => Ok(PeerReply::Done),
            TakeOutcome::Gap => {
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
            TakeOutcome::Unreadable => Err("a change cannot be read here".into()),
        }
    }

    fn state_piece(&self, offset: u64) -> Result<PeerReply, Box<str>> {
        let (revision, encoded) =
            self.keeper.encoded_state(offset > 0).ok_or("the state cannot be encoded")?;
        let total_bytes = encoded.len() as u64;
        let start = usize::try_from(offset).unwrap_or(usize::MAX).min(encoded.len());
        let end = start.saturating_add(STATE_PIECE_BYTES).min(encoded.len());
        Ok(PeerReply::State { revision, encoded: encoded.slice(start..end), total_bytes })
    }

    fn later_plans(&self, known: Vec<(DomainId, Epoch)>) -> Vec<FloorPlan> {
        let known: IndexMap<DomainId, Epoch> = known.into_iter().collect();
        let plans = self.plans.load();
        let later = plans
            .values()
            .filter(|plan| known.get(&plan.domain).is_none_or(|epoch| *epoch < plan.epoch));
        later.cloned().collect()
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
