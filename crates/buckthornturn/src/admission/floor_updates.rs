//! Applies configurations and floor plans: determines which tokens, slots and bytes this host may use.

use std::time::Duration;
use std::time::Instant;

use coordination::customer_budget::RateLimit;
use coordination::floor_ledger::FloorLedger;
use coordination::floor_ledger::ShrinkReport;
use coordination::floor_share::FloorKind;
use coordination::floor_share::WHOLE_PPM;
use coordination::ids::Epoch;
use coordination::slot_ledger::SlotLedger;
use coordination::token_bucket::MICRO_TOKENS;
use indexmap::IndexMap;

use crate::admission::customer_account::CustomerAccount;
use crate::admission::gate_core::GateCore;
use crate::admission::link_meter::LinkMeter;
use crate::admission::owner_state::end_sequence;
use crate::admission::owner_state::first_sequence;
use crate::admission::service_state::ServiceState;
use crate::admission::target_slots::TargetSlots;
use crate::configuration::ConfigurationState;
use crate::configuration::ProfileSpec;
use crate::interface::MemberEntry;
use crate::interface::MemberHealth;
use crate::interface::MemberView;
use crate::interface::PlanTable;

impl GateCore {
    /// Applies a new configuration. Smaller limits take effect at once.
    pub(crate) fn apply_configuration(&mut self, state: &ConfigurationState, now: Instant) {
        self.revision = state.revision;
        self.domain_split.set_domains(state.domains.keys().cloned().collect(), now);
        self.apply_targets(state);
        self.apply_services(state, now);
        self.customers.retain(|name, account| {
            let is_kept = state.customers.contains_key(name);
            if !is_kept {
                account.refuse_waiters(now);
            }
            is_kept
        });
        for name in state.customers.keys() {
            self.customers.entry(name.clone()).or_insert_with(|| CustomerAccount::new(now));
        }
        self.customer_weights =
            state.customers.values().map(|spec| (spec.name.clone(), spec.weight)).collect();
        self.links.retain(|ends, _| {
            state.links.values().any(|spec| spec.from == ends.0 && spec.to == ends.1)
        });
        self.apply_floors(state, now);
    }

    /// Applies later plans: opens gained floors once their plan has settled, and stops the use of lost ones. Returns the
    /// epoch of this host's own domain up to which it has released everything it lost.
    pub(crate) fn apply_plans(
        &mut self,
        plans: &PlanTable,
        members: &MemberView,
        state: &ConfigurationState,
        now: Instant,
    ) -> Epoch {
        self.check_pause(now);
        let mut is_changed = self.domain_split.expire_previous(now);
        for plan in plans.values() {
            let own = &self.own;
            let ledger = self.floors.entry(plan.domain.clone()).or_insert_with(|| {
                FloorLedger::new(plan.domain.clone(), own.host.clone(), own.incarnation)
            });
            is_changed |= ledger.advance(plan.clone(), now);
        }
        for ledger in self.floors.values_mut() {
            is_changed |= ledger.settle(|host| shrink_report(members, host), now);
        }
        self.release_dead_borrowers(members);
        if is_changed {
            self.apply_floors(state, now);
        }
        self.confirm_shrunk(now);
        self.floors.get(&self.own.failure_domain).map_or(0, FloorLedger::shrunk_epoch)
    }

    /// Ends a pause. Call it only after the plan epochs known here have been confirmed.
    pub(crate) fn resume(&mut self, state: &ConfigurationState, now: Instant) {
        self.pause.resume();
        self.apply_floors(state, now);
    }

    fn apply_targets(&mut self, state: &ConfigurationState) {
        for slots in self.targets.values_mut() {
            slots.is_configured = false;
        }
        for spec in state.targets.values() {
            let slots = self.targets.entry(spec.name.clone()).or_insert_with(|| TargetSlots {
                service: spec.service.clone(),
                address: spec.address,
                failure_domain: spec.failure_domain.clone(),
                region: "".into(),
                total: spec.slots,
                is_floor_open: false,
                is_configured: true,
                owner: None,
                owner_epoch: 0,
                declined_at: None,
                ledger: SlotLedger::new(spec.slots),
                borrowed: IndexMap::new(),
            });
            slots.is_configured = true;
            slots.service = spec.service.clone();
            slots.address = spec.address;
            slots.failure_domain = spec.failure_domain.clone();
            slots.region = state.region_of(&spec.failure_domain).unwrap_or_default().into();
            slots.total = spec.slots;
            slots.ledger.set_total(spec.slots);
        }
        self.targets.retain(|_, slots| slots.is_configured || slots.in_flight() > 0);
        for owner_state in self.owners.values_mut() {
            owner_state.requested.retain(|name, _| self.targets.contains_key(name));
        }
    }

    fn apply_services(&mut self, state: &ConfigurationState, now: Instant) {
        for service_state in self.services.values_mut() {
            service_state.targets.clear();
        }
        for spec in state.services.values() {
            let profile = state.profile_of(&spec.name);
            let queue = profile.map(|profile| profile.queue.clone()).unwrap_or_default();
            let service_state =
                self.services.entry(spec.name.clone()).or_insert_with(|| ServiceState::new(now));
            service_state.set_bounds(
                Duration::from_millis(queue.max_wait_ms),
                queue.max_waiting_per_customer,
            );
            service_state.retry_percent =
                profile.map_or(0.0, |profile| profile.retry_budget_percent);
        }
        for spec in state.targets.values() {
            if let Some(service_state) = self.services.get_mut(&spec.service) {
                service_state.targets.push(spec.name.clone());
            }
        }
    }

    fn apply_floors(&mut self, state: &ConfigurationState, now: Instant) {
        let is_paused = self.pause.check(now);
        for (name, slots) in &mut self.targets {
            let ledger = self.floors.get(&slots.failure_domain);
            slots.owner =
                ledger.and_then(|ledger| ledger.latest_holder(FloorKind::Slots, name)).cloned();
            slots.is_floor_open = !is_paused
                && slots.is_configured
                && ledger.is_some_and(|ledger| ledger.holds(FloorKind::Slots, name));
        }
        for spec in state.customers.values() {
            let limit = RateLimit::from_tokens(spec.rate_per_second, spec.burst);
            let floor = match is_paused {
                true => RateLimit::default(),
                false => self.token_floor(&spec.name, limit),
            };
            if let Some(account) = self.customers.get_mut(&spec.name) {
                account.budget.set_floor(limit, floor, now);
            }
        }
        self.apply_links(state, is_paused, now);
    }

    /// Sum of this host's floors of a customer over the failure domains whose floor it holds.
    fn token_floor(&self, customer: &str, limit: RateLimit) -> RateLimit {
        let held =
            self.floors.iter().filter(|(_, ledger)| ledger.holds(FloorKind::Tokens, customer));
        held.map(|(domain, _)| self.domain_split.domain_floor(domain, customer, limit))
            .fold(RateLimit::default(), RateLimit::plus)
    }

    /// Sets this host's share of each link direction. The hosts of both regions share a direction, because it carries
    /// requests and also the responses to requests of the other direction.
    fn apply_links(&mut self, state: &ConfigurationState, is_paused: bool, now: Instant) {
        for spec in state.links.values() {
            let is_link_end = |region: &str| region == &*spec.from || region == &*spec.to;
            if !is_link_end(&self.own.region) {
                continue;
            }
            let domains =
                state.domains.values().filter(|domain| is_link_end(&domain.region)).count();
            let share_ppm: u64 = self
                .floors
                .iter()
                .filter(|(domain, _)| state.region_of(domain).is_some_and(is_link_end))
                .map(|(_, ledger)| u64::from(ledger.even_share_ppm()))
                .sum();
            let whole_ppm = u64::from(WHOLE_PPM) * domains.max(1) as u64;
            let byte_rate =
                u128::from(spec.bytes_per_second) * u128::from(share_ppm) / u128::from(whole_ppm);
            let byte_rate =
                if is_paused { 0 } else { u64::try_from(byte_rate).unwrap_or(u64::MAX) };
            let ends = (spec.from.clone(), spec.to.clone());
            let meter = self.links.entry(ends).or_insert_with(|| LinkMeter::new(now));
            meter.set_share(byte_rate, now);
        }
    }

    /// Releases slots that were lent to dead processes of other hosts.
    fn release_dead_borrowers(&mut self, members: &MemberView) {
        for member in &members.members {
            let first_live_sequence = match member.health {
                MemberHealth::Gone => end_sequence(member.incarnation),
                _ => first_sequence(member.incarnation),
            };
            let previous =
                self.first_live_sequence.insert(member.host.clone(), first_live_sequence);
            if previous != Some(first_live_sequence) {
                for slots in self.targets.values_mut() {
                    slots.ledger.release_dead_borrower(&member.host, first_live_sequence);
                }
            }
        }
    }

    /// Acknowledges the latest plan of each domain under which nothing lost is in use or lent any more.
    fn confirm_shrunk(&mut self, now: Instant) {
        for (domain, ledger) in &mut self.floors {
            let epoch = ledger.epoch();
            if ledger.shrunk_epoch() >= epoch {
                continue;
            }
            let is_lost = |name: &str| ledger.has_lost(FloorKind::Slots, name);
            let are_slots_released = self
                .targets
                .iter()
                .filter(|(name, slots)| slots.failure_domain == *domain && is_lost(name))
                .all(|(_, slots)| slots.is_floor_released());
            let are_tokens_released = self.customers.iter_mut().all(|(name, account)| {
                !ledger.has_lost(FloorKind::Tokens, name) || !account.budget.has_lent(now)
            });
            if are_slots_released && are_tokens_released {
                ledger.confirm_shrunk(epoch);
            }
        }
    }
}

fn shrink_report(members: &MemberView, host: &str) -> Option<ShrinkReport> {
    let report = |member: &MemberEntry| ShrinkReport {
        incarnation: member.incarnation,
        shrunk_epoch: member.plan_shrunk,
    };
    members.member(host).map(report)
}

/// Cost of a request under a profile, in millionths of a token; at least one token. It is one token if the profile
/// charges no bytes or the length of the body is unknown.
pub(crate) fn token_cost(profile: Option<&ProfileSpec>, body_bytes: Option<u64>) -> u64 {
    let bytes_per_token = profile.map_or(0, |profile| profile.bytes_per_token);
    let tokens = match (bytes_per_token, body_bytes) {
        (0, _) | (_, None) => 1,
        (bytes_per_token, Some(bytes)) => bytes.div_ceil(bytes_per_token).max(1),
    };
    tokens.saturating_mul(MICRO_TOKENS)
}
