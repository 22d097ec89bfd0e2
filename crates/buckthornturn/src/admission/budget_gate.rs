//! The admission gate of an entry host, which stays within this host's floors and what it has borrowed.

use std::sync::Arc;
use std::time::Duration;

use coordination::ids::CustomerId;
use futures::FutureExt;
use futures::future::BoxFuture;
use kameo::actor::Spawn;
use spdlog::info;
use spdlog::warn;
use tokio::task::JoinSet;

use crate::admission::BudgetReport;
use crate::admission::CheckPlan;
use crate::admission::ConfirmPlan;
use crate::admission::FloorPlanner;
use crate::admission::OwnHost;
use crate::admission::customer_account::SpendOutcome;
use crate::admission::floor_tracker::track_floors;
use crate::admission::floor_updates::token_cost;
use crate::admission::gate_core::SlotOutcome;
use crate::admission::gate_shared::GateShared;
use crate::admission::gate_shared::runtime_now;
use crate::admission::loan_handler::LoanHandler;
use crate::admission::service_state::SlotGrant;
use crate::admission::slot_borrower::borrow_slots;
use crate::admission::slot_guard::SlotGuard;
use crate::admission::token_round::run_borrow_rounds;
use crate::configuration::ConfigurationCell;
use crate::interface::AdmissionGate;
use crate::interface::AdmissionPermit;
use crate::interface::AdmissionRefusal;
use crate::interface::AdmissionRequest;
use crate::interface::PeerCaller;
use crate::interface::PeerHandler;
use crate::interface::PlanCell;
use crate::interface::TargetWeights;

/// Interval at which the floor plan is checked, and confirmed during a pause.
const PLAN_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest wait of a request for tokens. The borrowing rounds normally end earlier; this bounds the wait if they do not.
const MAX_TOKEN_WAIT: Duration = Duration::from_secs(1);
/// Retry delay suggested to callers where no better estimate exists.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tokens that a request has spent. They are refunded if the request is then refused.
struct SpentTokens {
    customer: CustomerId,
    /// Millionths of a token.
    amount: u64,
}

/// The admission gate of an entry host. It admits requests within this host's floors and what it has borrowed from
/// other hosts.
pub struct BudgetGate {
    shared: Arc<GateShared>,
}

impl BudgetGate {
    /// Creates a gate that uses no floor until the tasks of `spawn_tasks` run.
    pub fn new(
        own: OwnHost,
        configuration: ConfigurationCell,
        plans: PlanCell,
        peers: Arc<dyn PeerCaller>,
        weights: Arc<dyn TargetWeights>,
    ) -> Self {
        Self { shared: Arc::new(GateShared::new(own, configuration, plans, peers, weights)) }
    }

    /// Returns the handler that answers `BorrowTokens` and `LeaseSlots` requests of peers.
    pub fn peer_handler(&self) -> Arc<dyn PeerHandler> {
        Arc::new(LoanHandler::new(Arc::clone(&self.shared)))
    }

    /// Reports the tokens and slots that this host has now.
    pub fn report(&self) -> BudgetReport {
        BudgetReport::from_core(&mut self.shared.lock_core(), runtime_now())
    }

    /// Starts the tasks that track floors and borrow slots. Without them nothing can be admitted.
    pub fn spawn_tasks(&self, tasks: &mut JoinSet<()>) {
        tasks.spawn(track_floors(Arc::clone(&self.shared)));
        tasks.spawn(borrow_slots(Arc::clone(&self.shared)));
    }

    /// Whether this host leaves its floors unused because the process was paused; `resume` ends that state.
    pub fn is_paused(&self) -> bool {
        self.shared.lock_core().pause.check(runtime_now())
    }

    /// Uses floors again after a pause. Call it only after the store or a peer of the domain has confirmed that the plan
    /// known here is the latest.
    pub fn resume(&self) {
        let members = self.shared.peers.members();
        let plans = self.shared.plans.load();
        let state = self.shared.configuration.load();
        let now = runtime_now();
        let mut core = self.shared.lock_core();
        core.apply_plans(&plans, &members, &state, now);
        core.resume(&state, now);
    }

    /// Runs the planner, which checks the plan at a fixed interval and confirms it after a pause.
    pub fn spawn_planner(&self, planner: FloorPlanner, tasks: &mut JoinSet<()>) {
        let shared = Arc::clone(&self.shared);
        let gate = Self { shared };
        tasks.spawn(async move {
            let planner = FloorPlanner::spawn(planner);
            loop {
                let is_confirmed = match gate.is_paused() {
                    true => planner.ask(ConfirmPlan).await.unwrap_or(false),
                    false => false,
                };
                if is_confirmed {
                    gate.resume();
                }
                if planner.ask(CheckPlan).await.is_err() {
                    warn!("floor planner has stopped", kv: { host: = gate.shared.own.host });
                    return;
                }
                tokio::time::sleep(PLAN_CHECK_INTERVAL).await;
            }
        });
    }

    async fn admit_request(
        &self,
        request: AdmissionRequest,
    ) -> Result<AdmissionPermit, AdmissionRefusal> {
        let state = self.shared.configuration.load();
        if state.revision == 0 {
            return Err(AdmissionRefusal::NoConfiguration { retry_after: RETRY_AFTER });
        }
        self.count_attempt(&request)?;
        let spent = self.spend_tokens(&request).await?;
        let result = self.acquire_slot(&request).await;
        if let (Err(_), Some(spent)) = (&result, spent) {
            self.refund_tokens(&spent);
        }
        let grant = result?;
        let permit = self.build_permit(grant)?;
        info!("target chosen", kv: {
            request_id: = request.request_id,
            target: = permit.target,
            failure_domain: = permit.failure_domain,
            queued_us = permit.queue_wait.as_micros() as u64,
            attempt = request.attempt,
            revision = state.revision
        });
        Ok(permit)
    }

    /// Counts a first attempt towards the service's retry budget, or charges a retry to it.
    fn count_attempt(&self, request: &AdmissionRequest) -> Result<(), AdmissionRefusal> {
        let mut core = self.shared.lock_core();
        let Some(service_state) = core.services.get_mut(&request.service) else {
            return Err(AdmissionRefusal::NoTarget { retry_after: RETRY_AFTER });
        };
        match request.attempt {
            0 => {
                service_state.retry_budget.record_first_attempt(service_state.retry_percent);
                Ok(())
            }
            _ if service_state.retry_budget.take_retry() => Ok(()),
            _ => Err(AdmissionRefusal::RetryBudget),
        }
    }

    /// Spends the tokens of a first attempt and waits for borrowed ones if this host has too few. Returns `None` for retries
    /// and for requests without a customer, which cost no tokens.
    async fn spend_tokens(
        &self,
        request: &AdmissionRequest,
    ) -> Result<Option<SpentTokens>, AdmissionRefusal> {
        let customer = match &request.customer {
            Some(customer) if request.attempt == 0 => customer,
            _ => return Ok(None),
        };
        let state = self.shared.configuration.load();
        let amount = token_cost(state.profile_of(&request.service), request.body_bytes);
        let now = runtime_now();
        let outcome = {
            let mut core = self.shared.lock_core();
            core.check_pause(now);
            match core.customers.get_mut(customer) {
                Some(account) => account.spend_or_wait(amount, now),
                None => SpendOutcome::Refused(RETRY_AFTER),
            }
        };
        let answer = match outcome {
            SpendOutcome::Spent => Ok(()),
            SpendOutcome::Refused(retry_after) => Err(retry_after),
            SpendOutcome::Waiting(receiver) => {
                tokio::spawn(run_borrow_rounds(Arc::clone(&self.shared), customer.clone()));
                let wait = request.deadline.saturating_duration_since(now).min(MAX_TOKEN_WAIT);
                match tokio::time::timeout(wait, receiver).await {
                    Ok(Ok(answer)) => answer,
                    _ => Err(RETRY_AFTER),
                }
            }
        };
        match answer {
            Ok(()) => Ok(Some(SpentTokens { customer: customer.clone(), amount })),
            Err(retry_after) => {
                info!("rate exceeded", kv: { request_id: = request.request_id, customer: = customer });
                Err(AdmissionRefusal::RateExceeded { retry_after })
            }
        }
    }

    fn refund_tokens(&self, spent: &SpentTokens) {
        if let Some(account) = self.shared.lock_core().customers.get_mut(&spent.customer) {
            account.budget.refund(spent.amount, runtime_now());
        }
    }

    async fn acquire_slot(
        &self,
        request: &AdmissionRequest,
    ) -> Result<SlotGrant, AdmissionRefusal> {
        let outcome = self.shared.lock_core().request_slot(
            request.clone(),
            &*self.shared.weights,
            runtime_now(),
        )?;
        let (receiver, expires_at) = match outcome {
            SlotOutcome::Granted(grant) => return Ok(grant),
            SlotOutcome::Queued(receiver, expires_at) => (receiver, expires_at),
        };
        self.shared.slots_wanted.notify_one();
        let mut pending = PendingSlot { shared: &self.shared, receiver };
        let deadline = tokio::time::Instant::from_std(expires_at);
        match tokio::time::timeout_at(deadline, &mut pending.receiver).await {
            Ok(Ok(grant)) => Ok(grant),
            _ => Err(AdmissionRefusal::NoCapacity { retry_after: RETRY_AFTER }),
        }
    }

    fn build_permit(&self, grant: SlotGrant) -> Result<AdmissionPermit, AdmissionRefusal> {
        let place = {
            let core = self.shared.lock_core();
            core.targets
                .get(&grant.target)
                .map(|slots| (slots.address, slots.failure_domain.clone(), slots.region.clone()))
        };
        let Some((address, failure_domain, region)) = place else {
            self.shared.release_slot(&grant.target, &grant.source);
            return Err(AdmissionRefusal::NoTarget { retry_after: RETRY_AFTER });
        };
        let (target, queued) = (grant.target.clone(), grant.queued);
        let guard = SlotGuard::new(Arc::clone(&self.shared), grant, region.clone());
        let guard = Box::new(guard);
        Ok(AdmissionPermit { target, address, failure_domain, region, queue_wait: queued, guard })
    }
}

/// The place of a request in the queue. A slot that was granted but not received is released on drop.
struct PendingSlot<'a> {
    shared: &'a GateShared,
    receiver: tokio::sync::oneshot::Receiver<SlotGrant>,
}

impl Drop for PendingSlot<'_> {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(grant) = self.receiver.try_recv() {
            self.shared.release_slot(&grant.target, &grant.source);
        }
    }
}

impl AdmissionGate for BudgetGate {
    fn admit(
        &self,
        request: AdmissionRequest,
    ) -> BoxFuture<'_, Result<AdmissionPermit, AdmissionRefusal>> {
        self.admit_request(request).boxed()
    }
}
