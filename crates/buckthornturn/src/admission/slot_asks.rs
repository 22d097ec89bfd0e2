//! Decides which slots to borrow from other hosts, and what to lend to them.

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
use crate::admission::gate_core::weighted;
use crate::admission::owner_line::OwnerLine;
use crate::admission::owner_line::SlotAsk;
use crate::admission::owner_line::first_sequence;
use crate::admission::service_line::ServiceLine;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::SlotLease;
use crate::interface::TargetWeights;

const SPARE_DIVISOR: u32 = 4;
const MAX_TARGETS_IN_MESSAGE: usize = 512;

/// One message to an owner of slots.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct SlotMessage {
    pub(crate) owner: HostId,
    pub(crate) sequence: u64,
    pub(crate) wanted: Vec<(TargetId, u32)>,
}

type AskTable = IndexMap<HostId, IndexMap<TargetId, SlotAsk>>;

impl GateCore {
    /// Messages to send now: renewals, slots wanted for the demand seen, and those given back.
    pub(crate) fn plan_slot_messages(
        &mut self,
        members: &MemberView,
        weights: &dyn TargetWeights,
        now: Instant,
    ) -> Vec<SlotMessage> {
        let mut asks = self.kept_asks(now);
        let services: Vec<_> = self.services.keys().cloned().collect();
        for service in services {
            let missing = self.missing_slots(&service, weights, now);
            match missing {
                0.. => {
                    let wanted = u32::try_from(missing).unwrap_or(u32::MAX);
                    self.ask_more(&service, wanted, members, weights, &mut asks, now);
                }
                _ => self.ask_less(&service, missing.unsigned_abs(), &mut asks),
            }
        }
        let mut messages = Vec::new();
        for (owner, wanted) in asks {
            messages.extend(self.message(owner, wanted, now));
        }
        messages
    }

    /// Takes an owner's answer in. An answer to any but the latest message is ignored. Returns services that may
    /// have got slots.
    pub(crate) fn take_leases(
        &mut self,
        message: &SlotMessage,
        leases: &[SlotLease],
        sent_at: Instant,
        now: Instant,
    ) -> Vec<ServiceId> {
        let Some(line) = self.owners.get_mut(&message.owner) else { return Vec::new() };
        if line.sequence != message.sequence {
            return Vec::new();
        }
        line.is_waiting = false;
        let mut services = Vec::new();
        for (target, _) in &message.wanted {
            let lease = leases.iter().find(|lease| lease.target == *target);
            let (granted, epoch) = lease.map_or((0, 0), |lease| (lease.slots, lease.epoch));
            let ask = line.asked.get(target).copied().unwrap_or_default();
            let Some(slots) = self.targets.get_mut(target) else { continue };
            let Some(held) = slots.held.get_mut(&message.owner) else { continue };
            let granted = granted.min(ask.wanted).saturating_sub(ask.claimed);
            let is_declined = granted < ask.wanted.saturating_sub(ask.claimed);
            held.record_grant(granted, holder_expiry(sent_at, LEASE_TERM));
            slots.owner_epoch = epoch;
            slots.declined_at = is_declined.then_some(now);
            if ask.wanted == 0 && held.is_idle() {
                slots.held.shift_remove(&message.owner);
                line.asked.shift_remove(target);
            }
            if !services.contains(&slots.service) {
                services.push(slots.service.clone());
            }
        }
        for service in &services {
            self.note_declined(service, now);
        }
        services
    }

    /// Takes note that an owner did not answer; what it may have granted stays asked for, so that it is told later.
    pub(crate) fn slot_message_failed(&mut self, message: &SlotMessage, now: Instant) {
        let Some(line) = self.owners.get_mut(&message.owner) else { return };
        if line.sequence == message.sequence {
            line.is_waiting = false;
        }
        let mut services = Vec::new();
        for (target, _) in &message.wanted {
            if let Some(slots) = self.targets.get_mut(target) {
                slots.declined_at = Some(now);
                services.push(slots.service.clone());
            }
        }
        for service in &services {
            self.note_declined(service, now);
        }
    }

    /// Answers a borrower. A target that gets no new work is not lent. A target whose floor has not opened here yet lends nothing, but what the borrower claims
    /// to fill counts as lent when it opens.
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
        for (target, wanted) in wanted.iter().take(MAX_TARGETS_IN_MESSAGE) {
            let Some(slots) = self.targets.get_mut(target) else { continue };
            let line = self.services.get(&slots.service);
            let is_busy = line.is_some_and(|line| !line.queue.is_empty());
            let reserved = u32::from(line.is_some_and(ServiceLine::has_demand));
            let is_own = slots.owner.as_ref() == Some(&self.own.host);
            let floor = self.floors.get(&slots.failure_domain);
            let epoch: Epoch = floor.map_or(0, |floor| floor.epoch());
            let (granted, epoch) = match slots.is_open {
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
                false if is_own && slots.ledger.lent_to(borrower) == 0 => {
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

    /// What has to be renewed, or given back: all that owners may believe to be held here.
    fn kept_asks(&self, now: Instant) -> AskTable {
        let mut asks = AskTable::new();
        for (owner, line) in &self.owners {
            for target in line.asked.keys() {
                let Some(slots) = self.targets.get(target) else { continue };
                let held = slots.held.get(owner);
                let is_owner = slots.owner.as_ref() == Some(owner) && slots.is_listed;
                let wanted = match held {
                    Some(held) if is_owner => held.slots().max(held.in_flight()),
                    Some(held) => held.in_flight(),
                    None => 0,
                };
                let claimed = if is_owner { slots.claimed_elsewhere(owner) } else { 0 };
                let wanted = match held {
                    Some(held) if held.usable(now) == 0 && slots.owner_epoch == 0 => 0,
                    _ => wanted,
                };
                let ask = SlotAsk { wanted: wanted + claimed, claimed };
                asks.entry(owner.clone()).or_default().insert(target.clone(), ask);
            }
        }
        asks
    }

    /// Slots that a service lacks for its recent peak and some spare, or has beyond that. While the own failure domain
    /// is drained, its slots count only for the share of requests that may run there.
    fn missing_slots(&mut self, service: &str, weights: &dyn TargetWeights, now: Instant) -> i64 {
        let own_share = weights.own_share(service);
        let Some(line) = self.services.get_mut(service) else { return 0 };
        let (mut own_usable, mut usable, mut in_flight) = (0, 0, 0);
        for name in &line.targets {
            let Some(slots) = self.targets.get(name) else { continue };
            let weighted = weighted(slots.usable(now), weights.weight(name, now));
            match slots.failure_domain == self.own.failure_domain {
                true => own_usable += weighted,
                false => usable += weighted,
            }
            in_flight += slots.in_flight();
        }
        let waiting = u32::try_from(line.queue.len()).unwrap_or(u32::MAX);
        let demand = in_flight.saturating_add(waiting);
        let peak = line.peak(demand, now);
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

    fn ask_more(
        &self,
        service: &str,
        missing: u32,
        members: &MemberView,
        weights: &dyn TargetWeights,
        asks: &mut AskTable,
        now: Instant,
    ) {
        let is_drained = weights.own_share(service) < 1.0;
        let Some(line) = self.services.get(service) else { return };
        let mut candidates: Vec<_> = line
            .targets
            .iter()
            .filter_map(|name| self.targets.get(name).map(|slots| (name, slots)))
            .filter(|(name, slots)| !slots.was_declined(now) && weights.weight(name, now) > 0.0)
            .filter_map(|(name, slots)| {
                let owner = slots.owner.as_ref().filter(|owner| **owner != self.own.host)?;
                let member = members.member(owner)?;
                let distance = match member.health {
                    MemberHealth::Gone => return None,
                    _ if is_drained && member.failure_domain == self.own.failure_domain => {
                        return None;
                    }
                    _ if member.failure_domain == self.own.failure_domain => 0,
                    _ if member.region == self.own.region => 1,
                    _ => 2,
                };
                let asked = asks.get(owner).and_then(|wanted| wanted.get(name));
                let held = asked.map_or(0, |ask| ask.wanted);
                Some((distance, held, name, owner, slots.total))
            })
            .collect();
        candidates.sort_by_key(|(distance, held, ..)| (*distance, *held));
        let mut left = missing;
        for (_, held, name, owner, total) in candidates {
            if left == 0 {
                break;
            }
            let more = (total / 2).max(1).min(total.saturating_sub(held)).min(left);
            left -= more;
            let ask = asks.entry(owner.clone()).or_default().entry(name.clone()).or_default();
            ask.wanted += more;
        }
    }

    fn ask_less(&self, service: &str, surplus: u64, asks: &mut AskTable) {
        let mut left = u32::try_from(surplus).unwrap_or(u32::MAX);
        for (owner, wanted) in asks {
            for (name, ask) in wanted {
                let Some(slots) = self.targets.get(name) else { continue };
                if &*slots.service != service {
                    continue;
                }
                let filled = slots.held.get(owner).map_or(0, HeldSlots::in_flight) + ask.claimed;
                let less = ask.wanted.saturating_sub(filled).min(left);
                ask.wanted -= less;
                left -= less;
            }
        }
    }

    /// A message, if there is something new in it or it is time to renew, and none is under way to that owner.
    fn message(
        &mut self,
        owner: HostId,
        wanted: IndexMap<TargetId, SlotAsk>,
        now: Instant,
    ) -> Option<SlotMessage> {
        let first = first_sequence(self.own.incarnation);
        let line = self.owners.entry(owner.clone()).or_insert_with(|| OwnerLine::new(first, now));
        let is_due = now.saturating_duration_since(line.sent_at) >= LEASE_TERM / 4;
        if line.is_waiting || (!is_due && !is_different(&line.asked, &wanted)) {
            return None;
        }
        line.is_waiting = true;
        line.sequence += 1;
        line.sent_at = now;
        let mut parts = Vec::new();
        for (target, mut ask) in wanted.into_iter().take(MAX_TARGETS_IN_MESSAGE) {
            let Some(slots) = self.targets.get_mut(&target) else { continue };
            let held = slots.held.entry(owner.clone()).or_insert_with(|| HeldSlots::new(now));
            ask.wanted = held.request_slots(ask.wanted - ask.claimed) + ask.claimed;
            line.asked.insert(target.clone(), ask);
            parts.push((target, ask.wanted));
        }
        Some(SlotMessage { owner, sequence: line.sequence, wanted: parts })
    }

    /// Marks a service whose targets have all been declined, so that requests are refused rather than kept waiting.
    fn note_declined(&mut self, service: &str, now: Instant) {
        let Some(line) = self.services.get_mut(service) else { return };
        let can_still_ask =
            line.targets.iter().filter_map(|name| self.targets.get(name)).any(|slots| {
                slots.usable(now) > 0 || (slots.owner.is_some() && !slots.was_declined(now))
            });
        line.declined_at = (!can_still_ask).then_some(now);
    }
}

fn is_different(asked: &IndexMap<TargetId, SlotAsk>, wanted: &IndexMap<TargetId, SlotAsk>) -> bool {
    wanted.iter().any(|(target, ask)| asked.get(target) != Some(ask))
}
