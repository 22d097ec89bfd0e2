//! Writes the floor plan of this host's failure domain.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use coordination::floor_plan::FloorPlan;
use coordination::ids::Epoch;
use coordination::lease_term::LEASE_TERM;
use coordination::lease_term::lender_term;
use kameo::Actor;
use kameo::message::Context;
use kameo::message::Message;
use spdlog::info;
use spdlog::warn;

use crate::admission::OwnHost;
use crate::admission::gate_shared::runtime_now;
use crate::admission::plan_draft::draft_plan;
use crate::admission::plan_draft::write_delay;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::ObjectStore;
use crate::interface::PeerCaller;
use crate::interface::PeerReply;
use crate::interface::PeerRequest;
use crate::interface::PlanCell;
use crate::interface::StoreError;

/// Timeout of each call to a peer that confirms the plan.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(500);

/// Actor that writes the floor plan of this host's failure domain when the domain's live hosts change. It is sent
/// `CheckPlan` at a fixed interval and makes no store call if the plan needs no change.
#[derive(Actor)]
pub struct FloorPlanner {
    own: OwnHost,
    plans: PlanCell,
    peers: Arc<dyn PeerCaller>,
    store: Arc<dyn ObjectStore>,
    /// When a change of the plan was first found necessary; `None` if the plan may stay.
    change_wanted_since: Option<Instant>,
    /// Latest plan epoch seen; 0 before the first plan.
    epoch: Epoch,
    /// When this host first saw that epoch.
    epoch_seen_at: Instant,
}

/// Tells the planner to check whether the plan should change, and to write it if so.
pub struct CheckPlan;

/// Tells the planner to confirm that it knows the latest plan, by asking the store or a live peer of the domain. The
/// reply is `false` if neither could be reached.
pub struct ConfirmPlan;

impl FloorPlanner {
    /// Creates a planner for the host's own failure domain.
    pub fn new(
        own: OwnHost,
        plans: PlanCell,
        peers: Arc<dyn PeerCaller>,
        store: Arc<dyn ObjectStore>,
    ) -> Self {
        let epoch_seen_at = runtime_now();
        Self { own, plans, peers, store, change_wanted_since: None, epoch: 0, epoch_seen_at }
    }

    async fn check_plan(&mut self) {
        let members = self.peers.members();
        let now = runtime_now();
        if self.next_draft(&members, now).is_none() {
            self.change_wanted_since = None;
            return;
        }
        let since = *self.change_wanted_since.get_or_insert(now);
        if now.saturating_duration_since(since) < write_delay(&self.own, &members) {
            return;
        }
        if let Err(error) = self.write_plan(&members).await {
            warn!("floor plan not written", kv: {
                failure_domain: = self.own.failure_domain, reason: = error
            });
        }
    }

    /// Writes the next plan. It reads the stored plan first, because another host may have changed it, and its write
    /// fails if the stored plan changes in between.
    async fn write_plan(&mut self, members: &MemberView) -> Result<(), StoreError> {
        let key = format!("plan/{}", self.own.failure_domain);
        let stored = self.store.get(&key).await?;
        let version = stored.as_ref().map(|object| object.version);
        if let Some(value) = stored.and_then(|object| object.value) {
            match serde_json::from_slice::<FloorPlan>(&value) {
                Ok(plan) => drop(self.plans.insert_if_newer(plan)),
                Err(error) => {
                    let reason = error.to_string().into();
                    return Err(StoreError::Refused { key: key.into(), reason });
                }
            }
        }
        let Some(plan) = self.next_draft(members, runtime_now()) else { return Ok(()) };
        let value = serde_json::to_vec(&plan).unwrap_or_default();
        self.store.put(&key, Bytes::from(value), version).await?;
        info!("floor plan written", kv: {
            failure_domain: = plan.domain,
            epoch = plan.epoch,
            holders = plan.holders.len(),
            awaited = plan.awaited.len(),
            gone = plan.gone.len()
        });
        self.plans.insert_if_newer(plan);
        Ok(())
    }

    /// Returns the plan that should follow the one known here, or `None` if that may stay.
    fn next_draft(&mut self, members: &MemberView, now: Instant) -> Option<FloorPlan> {
        let table = self.plans.load();
        let known = table.get(&self.own.failure_domain);
        let epoch = known.map_or(0, |plan| plan.epoch);
        if epoch != self.epoch {
            (self.epoch, self.epoch_seen_at) = (epoch, now);
        }
        let age = now.saturating_duration_since(self.epoch_seen_at);
        draft_plan(known, &self.own, members, age >= lender_term(LEASE_TERM))
    }

    /// Takes over the plan of the store, or of a live peer of the domain if the store is not reached. Returns `false` if
    /// neither answered, so that a later plan may exist.
    async fn confirm_plan(&self) -> bool {
        let key = format!("plan/{}", self.own.failure_domain);
        match self.store.get(&key).await {
            Ok(object) => {
                let value = object.and_then(|object| object.value).unwrap_or_default();
                if let Ok(plan) = serde_json::from_slice::<FloorPlan>(&value) {
                    self.plans.insert_if_newer(plan);
                }
                true
            }
            Err(_) => self.confirm_with_peer().await,
        }
    }

    async fn confirm_with_peer(&self) -> bool {
        let members = self.peers.members();
        let peers = members.members.iter().filter(|member| {
            member.failure_domain == self.own.failure_domain
                && member.health == MemberHealth::Live
                && member.host != self.own.host
        });
        for peer in peers {
            let domain = self.own.failure_domain.clone();
            let epoch = self.plans.load().get(&domain).map_or(0, |plan| plan.epoch);
            let request = PeerRequest::PullPlans { known: vec![(domain, epoch)] };
            match self.peers.call(&peer.host, request, CONFIRM_TIMEOUT).await {
                Ok(PeerReply::Plans { plans }) => {
                    for plan in plans {
                        self.plans.insert_if_newer(plan);
                    }
                    return true;
                }
                _ => continue,
            }
        }
        false
    }
}

impl Message<CheckPlan> for FloorPlanner {
    type Reply = ();

    async fn handle(&mut self, _: CheckPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.check_plan().await;
    }
}

impl Message<ConfirmPlan> for FloorPlanner {
    type Reply = bool;

    async fn handle(&mut self, _: ConfirmPlan, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        self.confirm_plan().await
    }
}
