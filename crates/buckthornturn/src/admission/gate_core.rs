//! What the gate keeps under its lock.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::fair_queue::QueueRefusal;
use coordination::fair_queue::QueueTicket;
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
use crate::admission::link_meter::LinkMeter;
use crate::admission::owner_state::OwnerState;
use crate::admission::service_state::ServiceState;
use crate::admission::service_state::SlotGrant;
use crate::admission::service_state::SlotWaiter;
use crate::admission::target_slots::SlotSource;
use crate::admission::target_slots::TargetSlots;
use crate::interface::AdmissionRefusal;
use crate::interface::AdmissionRequest;
use crate::interface::TargetCandidate;
use crate::interface::TargetWeights;

const RETRY_AFTER: Duration = Duration::from_secs(1);
const DECLINE_VALIDITY: Duration = Duration::from_millis(300);
const ANONYMOUS_CUSTOMER: &str = "";

/// A region that sends and one that receives.
pub(crate) type LinkEnds = (RegionId, RegionId);

/// What became of a request for a slot.
pub(crate) enum SlotOutcome {
    /// It has one.
    Granted(SlotGrant),
    /// It waits in the queue, at most until the moment given.
    Queued(oneshot::Receiver<SlotGrant>, Instant),
}

/// A slot for a request that waited.
pub(crate) type SlotDelivery = (oneshot::Sender<SlotGrant>, SlotGrant);

/// What the gate keeps under its lock: floors, tokens, slots, queues and link meters.
pub(crate) struct GateCore {
    pub(crate) own: OwnHost,
    pub(crate) floors: IndexMap<DomainId, FloorLedger>,
    pub(crate) pause: PauseCheck,
    pub(crate) revision: Revision,
    pub(crate) domain_split: DomainSplit,
    pub(crate) customers: IndexMap<CustomerId, CustomerAccount>,
    pub(crate) customer_weights: IndexMap<CustomerId, u32>,
    pub(crate) targets: IndexMap<TargetId, TargetSlots>,
    pub(crate) services: IndexMap<ServiceId, ServiceState>,
    pub(crate) links: IndexMap<LinkEnds, LinkMeter>,
    pub(crate) owners: IndexMap<HostId, OwnerState>,
    /// First number of slot messages that a living process of a host can have sent.
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

    /// Gives a slot at once, or a place in the queue, or refuses.
    pub(crate) fn request_slot(
        &mut self,
        request: AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Result<SlotOutcome, AdmissionRefusal> {
        self.check_pause(now);
        let is_queue_empty = self
            .services
            .get(&request.service)
            .is_some_and(|service_state| service_state.queue.is_empty());
        let acquired = match is_queue_empty {
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

    /// Serves waiting requests of a service as far as slots allow.
    pub(crate) fn dispatch_waiting(
        &mut self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<SlotDelivery> {
        let mut deliveries = Vec::new();
        while let Some(waiter) =
            self.services.get_mut(service).and_then(|service_state| service_state.queue.pop(now))
        {
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
                        service_state.queue.put_back(waiter, ticket);
                    }
                    break;
                }
            }
        }
        deliveries
    }

    /// Takes a slot back.
    pub(crate) fn release_slot(&mut self, target: &str, source: &SlotSource) -> Option<ServiceId> {
        let slots = self.targets.get_mut(target)?;
        slots.release(source);
        let service = slots.service.clone();
        if !slots.is_configured && slots.is_floor_released() && slots.in_flight() == 0 {
            self.targets.shift_remove(target);
        }
        Some(service)
    }

    /// Takes note that time passed. After a pause beyond a lease term floors stay unused until confirmed.
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

    /// Both directions between this host's region and another.
    pub(crate) fn link_ends(&self, region: &str) -> [LinkEnds; 2] {
        let own = &self.own.region;
        [(own.clone(), region.into()), (region.into(), own.clone())]
    }

    fn acquire_slot(
        &mut self,
        request: &AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Option<(TargetId, SlotSource)> {
        let candidates = self.candidates(request, weights, now);
        let index = match candidates.len() {
            0 => return None,
            _ => weights.choose(request, &candidates, now)?,
        };
        let target = candidates.get(index)?.target.clone();
        let source = self.targets.get_mut(&target)?.acquire(now)?;
        Some((target, source))
    }

    fn candidates(
        &mut self,
        request: &AdmissionRequest,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<TargetCandidate> {
        let Some(service_state) = self.services.get(&request.service) else { return Vec::new() };
        let mut reachable: IndexMap<&str, bool> = IndexMap::new();
        let mut candidates = Vec::new();
        for name in &service_state.targets {
            let Some(slots) = self.targets.get(name) else { continue };
            let (usable, in_flight) = (slots.usable(now), slots.in_flight());
            if in_flight >= usable || request.excluded.contains(name) {
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
                ends.iter().all(|ends| {
                    links.get_mut(ends).is_none_or(|meter| meter.admits(request.priority, now))
                })
            });
            if is_reachable {
                candidates.push(TargetCandidate {
                    target: name.clone(),
                    failure_domain: slots.failure_domain.clone(),
                    region: slots.region.clone(),
                    slots: usable,
                    in_flight,
                    owned: slots.is_floor_open,
                });
            }
        }
        candidates
    }

    /// Refuses at once if no target can be used, or if this host has no slot and owners have just declined.
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
        let ticket = QueueTicket { customer, weight, class, deadline };
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

/// Slots that may be filled under a weight; at least one unless the weight is 0.
pub(crate) fn weighted_slots(slots: u32, weight: f64) -> u32 {
    match weight {
        weight if weight <= 0.0 => 0,
        weight if weight >= 1.0 => slots,
        weight => ((f64::from(slots) * weight).floor() as u32).max(1).min(slots),
    }
}
