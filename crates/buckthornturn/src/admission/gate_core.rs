//! The gate's mutable state and its admission decisions, which run under one lock and never wait.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::fair_queue::EntryParams;
use coordination::fair_queue::QueueRefusal;
use coordination::floor_ledger::FloorLedger;
use coordination::ids::CustomerId;
use coordination::ids::DomainId;
use coordination::ids::HostId;
use coordination::ids::RegionId;
use coordination::ids::Revision;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use coordination::lease_term::LEASE_TERM;
use coordination::pause_check::PauseCheck;
use indexmap::IndexMap;
use tokio::sync::oneshot;

use crate::admission::OwnHost;
use crate::admission::customer_account::CustomerAccount;
use crate::admission::domain_split::DomainSplit;
use crate::admission::free_targets::FreeTargets;
use crate::admission::link_meter::LinkMeter;
use crate::admission::owner_state::OwnerState;
use crate::admission::service_state::ServiceState;
use crate::admission::service_state::SlotGrant;
use crate::admission::service_state::SlotWaiter;
use crate::admission::target_slots::SlotSource;
use crate::admission::target_slots::TargetSlots;
use crate::configuration::PriorityClass;
use crate::interface::AdmissionRefusal;
use crate::interface::AdmissionRequest;
use crate::interface::TargetCandidate;
use crate::interface::TargetWeights;

/// Retry delay suggested to callers where no better estimate exists.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which requests are refused rather than queued after all owners declined to lend slots of a service.
const DECLINE_VALIDITY: Duration = Duration::from_millis(300);
/// Queue key of requests without a customer, from routes that are open without a key.
const ANONYMOUS_CUSTOMER: &str = "";

/// One direction of a link: the sending region, then the receiving region.
pub(crate) type LinkEnds = (RegionId, RegionId);

/// Result of a slot request that was not refused.
pub(crate) enum SlotOutcome {
    /// The request holds a slot, which must be released with `release_slot`.
    Granted(SlotGrant),
    /// The request is queued until the given time. A slot that is granted by then arrives on the channel.
    Queued(oneshot::Receiver<SlotGrant>, Instant),
}

/// A slot granted to a queued request, with the channel on which the request receives it.
pub(crate) type SlotDelivery = (oneshot::Sender<SlotGrant>, SlotGrant);

/// The gate's state under its lock: floors, tokens, slots, queues and link meters.
pub(crate) struct GateCore {
    /// This host, as floor plans and peers identify it.
    pub(crate) own: OwnHost,
    /// What this host may use of each failure domain's floors; `apply_plans` adds a domain with its first plan.
    pub(crate) floors: IndexMap<DomainId, FloorLedger>,
    /// Detects pauses of this process that are long enough for its floors to have been reassigned.
    pub(crate) pause: PauseCheck,
    /// Revision of the configuration that was last applied; 0 before the first.
    pub(crate) revision: Revision,
    /// Divides customer limits over the configured failure domains.
    pub(crate) domain_split: DomainSplit,
    /// Tokens and waiting requests of every configured customer.
    pub(crate) customers: IndexMap<CustomerId, CustomerAccount>,
    /// Weight of each customer in the fair queues; a customer without an entry has weight 1.
    pub(crate) customer_weights: IndexMap<CustomerId, u32>,
    /// Slots of every configured target, and of removed targets on which requests still run.
    pub(crate) targets: IndexMap<TargetId, TargetSlots>,
    /// Queue, retry budget and recent demand of each service.
    pub(crate) services: IndexMap<ServiceId, ServiceState>,
    /// Byte meters of the link directions that start or end in this host's region.
    pub(crate) links: IndexMap<LinkEnds, LinkMeter>,
    /// Lease requests sent to each owner of slots.
    pub(crate) owners: IndexMap<HostId, OwnerState>,
    /// Lowest sequence number that a lease message of each host's live process can have. Loans to lower numbers
    /// belong to dead processes and are released.
    pub(crate) first_live_sequence: IndexMap<HostId, u64>,
}

impl GateCore {
    pub(crate) fn new(own: OwnHost, now: Instant) -> Self {
        Self {
            own,
            floors: IndexMap::new(),
            pause: PauseCheck::new(LEASE_TERM, now),
            revision: 0,
            domain_split: DomainSplit::default(),
            customers: IndexMap::new(),
            customer_weights: IndexMap::new(),
            targets: IndexMap::new(),
            services: IndexMap::new(),
            links: IndexMap::new(),
            owners: IndexMap::new(),
            first_live_sequence: IndexMap::new(),
        }
    }

    /// Grants a slot at once if one is free that no queued request of the service can use. Otherwise it queues the request
    /// or refuses it.
    pub(crate) fn request_slot(
        &mut self,
        request: AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Result<SlotOutcome, AdmissionRefusal> {
        self.check_pause(now);
        let acquired = match self.is_served_first(&request.service, weights, now) {
            true => self.acquire_slot(&request, weights, now),
            false => None,
        };
        if let Some((target, source)) = acquired {
            let queued = Duration::ZERO;
            return Ok(SlotOutcome::Granted(SlotGrant { target, source, queued }));
        }
        self.check_capacity(&request, weights, now)?;
        self.enqueue(request, now)
    }

    /// Grants slots to queued requests of a service, in queue order, until none is free that a request can use. The caller
    /// delivers them after it has released the lock.
    pub(crate) fn dispatch_waiting(
        &mut self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<SlotDelivery> {
        let mut deliveries = Vec::new();
        while let Some(waiter) = self.pop_waiter(service, weights, now) {
            if waiter.sender.is_closed() {
                continue;
            }
            match self.acquire_slot(&waiter.request, weights, now) {
                Some((target, source)) => {
                    let queued = now.saturating_duration_since(waiter.arrived_at);
                    deliveries.push((waiter.sender, SlotGrant { target, source, queued }));
                }
                None => {
                    if let Some(service_state) = self.services.get_mut(service) {
                        let ticket = waiter.ticket.clone();
                        service_state.queue.requeue(waiter, ticket);
                    }
                    break;
                }
            }
        }
        deliveries
    }

    /// Releases a slot. Returns the service that may use it next, or `None` if the target is unknown.
    pub(crate) fn release_slot(&mut self, target: &str, source: &SlotSource) -> Option<ServiceId> {
        let slots = self.targets.get_mut(target)?;
        slots.release(source);
        let service = slots.service.clone();
        if !slots.is_configured && slots.is_floor_released() && slots.in_flight() == 0 {
            self.targets.shift_remove(target);
        }
        Some(service)
    }

    /// Checks whether the process was paused for longer than a lease term. If so, other hosts may have taken over its
    /// floors, so all of them stay unused until the plan known here is confirmed.
    pub(crate) fn check_pause(&mut self, now: Instant) {
        if !self.pause.check(now) {
            return;
        }
        for slots in self.targets.values_mut() {
            slots.is_floor_open = false;
        }
        let empty_floor = RateLimit::default();
        for account in self.customers.values_mut() {
            if account.budget.floor() != empty_floor {
                let limit = account.budget.limit();
                account.budget.set_floor(limit, empty_floor, now);
            }
        }
        for meter in self.links.values_mut() {
            meter.set_share(0, now);
        }
    }

    /// Both directions of the link between this host's region and another.
    pub(crate) fn link_ends(&self, region: &str) -> [LinkEnds; 2] {
        let own = &self.own.region;
        [(own.clone(), region.into()), (region.into(), own.clone())]
    }

    /// Removes and returns the next queued request of a service that can use a free slot, or that was abandoned.
    fn pop_waiter(
        &mut self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Option<SlotWaiter> {
        if self.services.get(service)?.queue.is_empty() {
            return None;
        }
        let free = self.free_targets(service, weights, now);
        if free.is_empty() {
            return None;
        }
        let can_serve =
            |waiter: &SlotWaiter| waiter.sender.is_closed() || free.serve(&waiter.request);
        self.services.get_mut(service)?.queue.pop_where(now, can_serve)
    }

    /// Whether no queued request of a service can use any of the free slots.
    fn is_served_first(
        &mut self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> bool {
        let is_empty = |service_state: &ServiceState| service_state.queue.is_empty();
        match self.services.get(service).map(is_empty) {
            None => return false,
            Some(true) => return true,
            Some(false) => {}
        }
        let free = self.free_targets(service, weights, now);
        let can_use =
            |waiter: &SlotWaiter| !waiter.sender.is_closed() && free.serve(&waiter.request);
        let service_state = self.services.get(service);
        service_state.is_some_and(|service_state| !service_state.queue.items().any(can_use))
    }

    /// Targets of a service with a free slot, by the priority classes that their links admit.
    fn free_targets(
        &mut self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> FreeTargets {
        FreeTargets::new(|priority| {
            let candidates = self.candidates(service, priority, &[], weights, now);
            candidates.into_iter().map(|candidate| candidate.target).collect()
        })
    }

    /// Lets the weights choose a target and acquires a slot of it; `None` if no target has a free slot.
    fn acquire_slot(
        &mut self,
        request: &AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Option<(TargetId, SlotSource)> {
        let (service, excluded) = (&request.service, &request.excluded);
        let candidates = self.candidates(service, request.priority, excluded, weights, now);
        let index = match candidates.len() {
            0 => return None,
            _ => weights.choose(request, &candidates, now)?,
        };
        let target = candidates.get(index)?.target.clone();
        let source = self.targets.get_mut(&target)?.acquire(now)?;
        Some((target, source))
    }

    /// Returns the service's targets that have a free slot under their weight and whose link admits the priority class,
    /// without the excluded ones.
    fn candidates(
        &mut self,
        service: &str,
        priority: PriorityClass,
        excluded: &[TargetId],
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<TargetCandidate> {
        let Some(service_state) = self.services.get(service) else { return Vec::new() };
        let mut reachable: IndexMap<&str, bool> = IndexMap::new();
        let mut candidates = Vec::new();
        for name in &service_state.targets {
            let Some(slots) = self.targets.get(name) else { continue };
            let (usable, in_flight) = (slots.usable(now), slots.in_flight());
            if in_flight >= usable || excluded.contains(name) {
                continue;
            }
            if in_flight >= weighted_slots(usable, weights.weight(name, now)) {
                continue;
            }
            let links = &mut self.links;
            let own = &self.own.region;
            let is_reachable = *reachable.entry(&slots.region).or_insert_with(|| {
                let ends =
                    [(own.clone(), slots.region.clone()), (slots.region.clone(), own.clone())];
                ends.iter()
                    .all(|ends| links.get_mut(ends).is_none_or(|meter| meter.admits(priority, now)))
            });
            if is_reachable {
                candidates.push(TargetCandidate {
                    target: name.clone(),
                    failure_domain: slots.failure_domain.clone(),
                    region: slots.region.clone(),
                    slots: usable,
                    in_flight,
                    is_owned: slots.is_floor_open,
                });
            }
        }
        candidates
    }

    /// Refuses the request instead of queueing it if no target is usable, or if this host has no slot and the owners
    /// have just declined to lend any.
    fn check_capacity(
        &self,
        request: &AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Result<(), AdmissionRefusal> {
        let retry_after = RETRY_AFTER;
        let service_state = match self.services.get(&request.service) {
            Some(service_state) => service_state,
            None => return Err(AdmissionRefusal::NoTarget { retry_after }),
        };
        let is_usable =
            |name: &&TargetId| !request.excluded.contains(name) && weights.weight(name, now) > 0.0;
        let mut usable = service_state.targets.iter().filter(is_usable).peekable();
        if usable.peek().is_none() {
            return Err(AdmissionRefusal::NoTarget { retry_after });
        }
        let has_slot =
            usable.filter_map(|name| self.targets.get(name)).any(|slots| slots.usable(now) > 0);
        let is_just_declined = service_state
            .declined_at
            .is_some_and(|at| now.saturating_duration_since(at) < DECLINE_VALIDITY);
        match has_slot || !is_just_declined {
            true => Ok(()),
            false => Err(AdmissionRefusal::NoCapacity { retry_after }),
        }
    }

    fn enqueue(
        &mut self,
        request: AdmissionRequest,
        now: Instant,
    ) -> Result<SlotOutcome, AdmissionRefusal> {
        let customer = request.customer.clone().unwrap_or_else(|| ANONYMOUS_CUSTOMER.into());
        let weight = self.customer_weights.get(&customer).copied().unwrap_or(1);
        let Some(service_state) = self.services.get_mut(&request.service) else {
            return Err(AdmissionRefusal::NoTarget { retry_after: RETRY_AFTER });
        };
        let deadline = request.deadline.min(now + service_state.longest_wait);
        let class = request.priority as usize;
        let ticket = EntryParams { customer, weight, class, deadline };
        let (sender, receiver) = oneshot::channel();
        let waiter = SlotWaiter { request, ticket: ticket.clone(), arrived_at: now, sender };
        match service_state.queue.push(waiter, ticket, now) {
            Ok(()) => Ok(SlotOutcome::Queued(receiver, deadline)),
            Err((_, QueueRefusal::Full(retry_after))) => {
                Err(AdmissionRefusal::QueueFull { retry_after })
            }
            Err((_, QueueRefusal::TooLate(retry_after))) => {
                Err(AdmissionRefusal::NoCapacity { retry_after })
            }
        }
    }
}

/// Number of slots that may be used under a weight of 0 to 1; at least one unless the weight or `slots` is 0.
pub(crate) fn weighted_slots(slots: u32, weight: f64) -> u32 {
    match weight {
        weight if weight <= 0.0 => 0,
        weight if weight >= 1.0 => slots,
        weight => ((f64::from(slots) * weight).floor() as u32).max(1).min(slots),
    }
}
