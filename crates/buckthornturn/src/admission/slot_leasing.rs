//! Decides which slots to borrow from other hosts and which to lend to them.

use std::time::Instant;

use coordination::held_slots::HeldSlots;
use coordination::ids::Epoch;
use coordination::ids::HostId;
use coordination::ids::ServiceId;
use coordination::ids::TargetId;
use coordination::lease_term::LEASE_TERM;
use coordination::lease_term::holder_expiry;
use indexmap::IndexMap;

use crate::admission::gate_core::GateCore;
use crate::admission::gate_core::weighted_slots;
use crate::admission::owner_state::LeaseRequest;
use crate::admission::owner_state::OwnerState;
use crate::admission::owner_state::first_sequence;
use crate::admission::service_state::ServiceState;
use crate::admission::service_state::SlotWaiter;
use crate::admission::slot_lender::LeaseRequestTable;
use crate::admission::slot_lender::SlotLender;
use crate::admission::slot_lender::request_more;
use crate::admission::target_slots::TargetSlots;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::SlotLease;
use crate::interface::TargetWeights;

/// Spare slots are the recent peak demand divided by this, plus one.
const SPARE_DIVISOR: u32 = 4;
/// Targets that one lease message may name. The sender leaves out further ones, and the owner ignores them.
const MAX_TARGETS_PER_MESSAGE: usize = 512;

/// One lease message to an owner of slots.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct LeaseMessage {
    pub(crate) owner: HostId,
    pub(crate) sequence: u64,
    /// Total slots wanted of each target; 0 returns them all.
    pub(crate) wanted: Vec<(TargetId, u32)>,
}

impl GateCore {
    /// Returns the lease messages to send now. They renew leases, request slots for the recent demand and return
    /// surplus ones.
    pub(crate) fn plan_lease_messages(
        &mut self,
        members: &MemberView,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<LeaseMessage> {
        let mut requests = self.renewal_requests(now);
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in services {
            let shortfall = self.slot_shortfall(&service, weights, now);
            let lenders = self.lenders(&service, members, weights, now);
            match shortfall {
                0.. => {
                    let wanted = u32::try_from(shortfall).unwrap_or(u32::MAX);
                    request_more(&lenders, &[], wanted, &mut requests);
                }
                _ => self.request_fewer(&service, shortfall.unsigned_abs(), &mut requests),
            }
            for (excluded, wanted) in self.waiters_elsewhere(&service, weights, now) {
                request_more(&lenders, excluded, wanted, &mut requests);
            }
        }
        let mut messages = Vec::new();
        for (owner, wanted) in requests {
            messages.extend(self.build_message(owner, wanted, now));
        }
        messages
    }

    /// Applies an owner's reply; a reply to any but the latest message is ignored. Returns the services that may have
    /// gained slots.
    pub(crate) fn apply_leases(
        &mut self,
        message: &LeaseMessage,
        leases: &[SlotLease],
        sent_at: Instant,
        now: Instant,
    ) -> Vec<ServiceId> {
        let Some(owner_state) = self.owners.get_mut(&message.owner) else { return Vec::new() };
        if owner_state.sequence != message.sequence {
            return Vec::new();
        }
        owner_state.is_awaiting_reply = false;
        let mut services = Vec::new();
        for (target, _) in &message.wanted {
            let lease = leases.iter().find(|lease| lease.target == *target);
            let (granted, epoch) = lease.map_or((0, 0), |lease| (lease.slots, lease.epoch));
            let request = owner_state.requested.get(target).copied().unwrap_or_default();
            let Some(slots) = self.targets.get_mut(target) else { continue };
            let Some(held) = slots.borrowed.get_mut(&message.owner) else { continue };
            let granted = granted.min(request.wanted).saturating_sub(request.carried_over);
            let is_declined = granted < request.wanted.saturating_sub(request.carried_over);
            held.record_grant(granted, holder_expiry(sent_at, LEASE_TERM));
            slots.owner_epoch = epoch;
            slots.declined_at = is_declined.then_some(now);
            if request.wanted == 0 && held.is_idle() {
                slots.borrowed.shift_remove(&message.owner);
                owner_state.requested.shift_remove(target);
            }
            if !services.contains(&slots.service) {
                services.push(slots.service.clone());
            }
        }
        for service in &services {
            self.update_declined(service, now);
        }
        services
    }

    /// Records that an owner did not reply. The slots stay in the next messages, because the owner may have granted
    /// them and must learn later what this host still holds.
    pub(crate) fn record_lease_failure(&mut self, message: &LeaseMessage, now: Instant) {
        let Some(owner_state) = self.owners.get_mut(&message.owner) else { return };
        if owner_state.sequence == message.sequence {
            owner_state.is_awaiting_reply = false;
        }
        let mut services = Vec::new();
        for (target, _) in &message.wanted {
            if let Some(slots) = self.targets.get_mut(target) {
                slots.declined_at = Some(now);
                services.push(slots.service.clone());
            }
        }
        for service in &services {
            self.update_declined(service, now);
        }
    }

    /// Answers a borrower's lease message. Nothing is lent of a target that gets no new requests. Nothing is lent either
    /// while this host's floor of the target is not open, but the slots that the borrower reports as in use count as
    /// lent once it opens.
    pub(crate) fn lend_slots(
        &mut self,
        borrower: &str,
        sequence: u64,
        wanted: &[(TargetId, u32)],
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<SlotLease> {
        self.check_pause(now);
        let mut leases = Vec::new();
        for (target, wanted) in wanted.iter().take(MAX_TARGETS_PER_MESSAGE) {
            let Some(slots) = self.targets.get_mut(target) else { continue };
            let service_state = self.services.get(&slots.service);
            let is_busy =
                service_state.is_some_and(|service_state| !service_state.queue.is_empty());
            let reserved = u32::from(service_state.is_some_and(ServiceState::has_demand));
            let is_own_floor = slots.owner.as_ref() == Some(&self.own.host);
            let floor = self.floors.get(&slots.failure_domain);
            let epoch: Epoch = floor.map_or(0, |floor| floor.epoch());
            let (granted, epoch) = match slots.is_floor_open {
                true if weights.weight(target, now) <= 0.0 => {
                    (slots.ledger.lend(borrower, sequence, *wanted, 0), epoch)
                }
                true if is_busy => {
                    let limit = slots.total / 2;
                    (slots.ledger.lend(borrower, sequence, *wanted, limit), epoch)
                }
                true => {
                    let spare = slots.ledger.free().saturating_sub(reserved);
                    let limit = slots.ledger.lent_to(borrower) + spare;
                    (slots.ledger.lend(borrower, sequence, *wanted, limit), epoch)
                }
                false if is_own_floor && slots.ledger.lent_to(borrower) == 0 => {
                    (slots.ledger.adopt_loan(borrower, sequence, *wanted).then_some(0), 0)
                }
                false => (slots.ledger.lend(borrower, sequence, *wanted, 0), 0),
            };
            if let Some(granted) = granted {
                let target = target.clone();
                leases.push(SlotLease { target, slots: granted, epoch, term: LEASE_TERM });
            }
        }
        leases
    }

    /// Returns requests for all slots that owners may count as lent to this host, in order to renew or return them.
    fn renewal_requests(&self, now: Instant) -> LeaseRequestTable {
        let mut requests = LeaseRequestTable::new();
        for (owner, owner_state) in &self.owners {
            for target in owner_state.requested.keys() {
                let Some(slots) = self.targets.get(target) else { continue };
                let held = slots.borrowed.get(owner);
                let is_owner = slots.owner.as_ref() == Some(owner) && slots.is_configured;
                let wanted = match held {
                    Some(held) if is_owner => held.slots().max(held.in_flight()),
                    Some(held) => held.in_flight(),
                    None => 0,
                };
                let carried_over =
                    if is_owner { slots.in_flight_with_other_owners(owner) } else { 0 };
                let wanted = match held {
                    Some(held) if held.usable(now) == 0 && slots.owner_epoch == 0 => 0,
                    _ => wanted,
                };
                let request = LeaseRequest { wanted: wanted + carried_over, carried_over };
                requests.entry(owner.clone()).or_default().insert(target.clone(), request);
            }
        }
        requests
    }

    /// Returns how many slots a service lacks for its recent peak demand plus some spare; a negative result is a surplus.
    /// While this host's own failure domain is drained, slots there count only up to the share of requests that may still
    /// run there.
    fn slot_shortfall(&mut self, service: &str, weights: &dyn TargetWeights, now: Instant) -> i64 {
        let own_share = weights.own_domain_share(service);
        let Some(service_state) = self.services.get_mut(service) else { return 0 };
        let (mut own_usable, mut usable, mut in_flight) = (0, 0, 0);
        for name in &service_state.targets {
            let Some(slots) = self.targets.get(name) else { continue };
            let fillable = weighted_slots(slots.usable(now), weights.weight(name, now));
            match slots.failure_domain == self.own.failure_domain {
                true => own_usable += fillable,
                false => usable += fillable,
            }
            in_flight += slots.in_flight();
        }
        let waiting = u32::try_from(service_state.queue.len()).unwrap_or(u32::MAX);
        let demand = in_flight.saturating_add(waiting);
        let peak = service_state.record_demand(demand, now);
        let wanted = match peak {
            0 => 0,
            peak => peak + peak / SPARE_DIVISOR + 1,
        };
        let own_usable = match own_share {
            share if share < 1.0 => own_usable.min((f64::from(wanted) * share).ceil() as u32),
            _ => own_usable,
        };
        i64::from(wanted) - i64::from(own_usable) - i64::from(usable)
    }

    /// Number of queued requests for which this host has no slot of a target that they do not exclude, by the targets that
    /// they exclude.
    fn waiters_elsewhere(
        &self,
        service: &str,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> IndexMap<&[TargetId], u32> {
        let mut waiters = IndexMap::new();
        let Some(service_state) = self.services.get(service) else { return waiters };
        let is_usable = |name: &TargetId| {
            let slots = self.targets.get(name);
            slots.is_some_and(|slots| slots.usable(now) > 0) && weights.weight(name, now) > 0.0
        };
        let has_exclusions = |waiter: &&SlotWaiter| !waiter.request.excluded.is_empty();
        for waiter in service_state.queue.items().filter(has_exclusions) {
            *waiters.entry(&*waiter.request.excluded).or_default() += 1;
        }
        waiters.retain(|excluded, _| {
            let mut targets = service_state.targets.iter();
            !targets.any(|name| !excluded.contains(name) && is_usable(name))
        });
        waiters
    }

    /// Targets of a service whose owners may lend slots, without owners that are gone or have recently declined, and owners in
    /// this host's own failure domain while that is drained.
    fn lenders(
        &self,
        service: &str,
        members: &MemberView,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<SlotLender> {
        let is_drained = weights.own_domain_share(service) < 1.0;
        let Some(service_state) = self.services.get(service) else { return Vec::new() };
        let slots_of = |name| self.targets.get(name).map(|slots| (name, slots));
        let lender_of = |(name, slots): (&TargetId, &TargetSlots)| {
            let owner = slots.owner.as_ref().filter(|owner| **owner != self.own.host)?;
            let member = members.member(owner)?;
            let is_own_domain = member.failure_domain == self.own.failure_domain;
            let distance = match member.health {
                MemberHealth::Gone => return None,
                _ if is_drained && is_own_domain => return None,
                _ if is_own_domain => 0,
                _ if member.region == self.own.region => 1,
                _ => 2,
            };
            let (owner, target) = (owner.clone(), name.clone());
            Some(SlotLender { owner, target, distance, total: slots.total })
        };
        let targets = service_state.targets.iter().filter_map(slots_of);
        targets
            .filter(|(name, slots)| {
                !slots.was_recently_declined(now) && weights.weight(name, now) > 0.0
            })
            .filter_map(lender_of)
            .collect()
    }

    /// Reduces requests by a surplus, but not below what is in use.
    fn request_fewer(&self, service: &str, surplus: u64, requests: &mut LeaseRequestTable) {
        let mut remaining = u32::try_from(surplus).unwrap_or(u32::MAX);
        for (owner, wanted) in requests {
            for (name, request) in wanted {
                let Some(slots) = self.targets.get(name) else { continue };
                if &*slots.service != service {
                    continue;
                }
                let in_use = slots.borrowed.get(owner).map_or(0, HeldSlots::in_flight)
                    + request.carried_over;
                let reduction = request.wanted.saturating_sub(in_use).min(remaining);
                request.wanted -= reduction;
                remaining -= reduction;
            }
        }
    }

    /// Returns a message to an owner if requests changed or leases are due for renewal; `None` otherwise, and while the
    /// owner has not replied to the previous message.
    fn build_message(
        &mut self,
        owner: HostId,
        wanted: IndexMap<TargetId, LeaseRequest>,
        now: Instant,
    ) -> Option<LeaseMessage> {
        let initial_sequence = first_sequence(self.own.incarnation);
        let owner_state = self
            .owners
            .entry(owner.clone())
            .or_insert_with(|| OwnerState::new(initial_sequence, now));
        let is_due = now.saturating_duration_since(owner_state.sent_at) >= LEASE_TERM / 4;
        if owner_state.is_awaiting_reply
            || (!is_due && !has_changes(&owner_state.requested, &wanted))
        {
            return None;
        }
        owner_state.is_awaiting_reply = true;
        owner_state.sequence += 1;
        owner_state.sent_at = now;
        let mut wanted_slots = Vec::new();
        for (target, mut request) in wanted.into_iter().take(MAX_TARGETS_PER_MESSAGE) {
            let Some(slots) = self.targets.get_mut(&target) else { continue };
            let held = slots.borrowed.entry(owner.clone()).or_insert_with(|| HeldSlots::new(now));
            request.wanted =
                held.request_slots(request.wanted - request.carried_over) + request.carried_over;
            owner_state.requested.insert(target.clone(), request);
            wanted_slots.push((target, request.wanted));
        }
        Some(LeaseMessage { owner, sequence: owner_state.sequence, wanted: wanted_slots })
    }

    /// Marks a service that has no slot here and whose owners have all just declined, so that its requests are refused
    /// instead of queued in vain. Otherwise it clears the mark.
    fn update_declined(&mut self, service: &str, now: Instant) {
        let Some(service_state) = self.services.get_mut(service) else { return };
        let can_still_ask =
            service_state.targets.iter().filter_map(|name| self.targets.get(name)).any(|slots| {
                slots.usable(now) > 0
                    || (slots.owner.is_some() && !slots.was_recently_declined(now))
            });
        service_state.declined_at = (!can_still_ask).then_some(now);
    }
}

/// Whether any wanted request differs from the one last sent.
fn has_changes(
    requested: &IndexMap<TargetId, LeaseRequest>,
    wanted: &IndexMap<TargetId, LeaseRequest>,
) -> bool {
    wanted.iter().any(|(target, request)| requested.get(target) != Some(request))
}
