//! Tests of how hosts tell an outage of the store from the isolation of their failure domain.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::SightingReport;
use coordination::fleet::StoreSightings;
use proptest::prelude::*;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

const STEP: Duration = Duration::from_millis(250);
/// Steps between the heartbeats of a host, and between calls of a host that polls for its region.
const STEPS_PER_HEARTBEAT: u32 = 2;
const STEPS_PER_CALL: u32 = 6;
/// Steps after which a silent host no longer counts as live.
const LIVENESS_STEPS: u32 = 10;
/// Receivers of a heartbeat in fleets of up to `SMALL_FLEET` hosts, and in larger ones.
const RECEIVERS: (usize, usize) = (6, 5);
const SMALL_FLEET: usize = 15;

/// What is unreachable for a time.
#[derive(Clone, Copy, Debug)]
enum Trouble {
    /// The store is down for all hosts.
    Outage,
    /// The first hosts reach neither the store nor the other hosts.
    Partition(usize),
    /// The first hosts do not reach the store.
    StoreLinks(usize),
}

struct ModelHost {
    sightings: StoreSightings,
    follows: bool,
    /// Step and content of the latest heartbeat of each host.
    heard: Vec<Option<(u32, bool)>>,
}

struct SightingModel {
    hosts: Vec<ModelHost>,
    start: Instant,
    step: u32,
    rng: StdRng,
}

impl SightingModel {
    fn new(hosts: usize, seed: u64) -> Self {
        let start = Instant::now();
        let host = || ModelHost {
            sightings: StoreSightings::new(start),
            follows: false,
            heard: vec![None; hosts],
        };
        let hosts = (0..hosts).map(|_| host()).collect();
        Self { hosts, start, step: 0, rng: StdRng::seed_from_u64(seed) }
    }

    fn now(&self) -> Instant {
        self.start + STEP * self.step
    }

    fn run(&mut self, steps: u32, trouble: Option<Trouble>) {
        for _ in 0..steps {
            self.step += 1;
            self.call_store(trouble);
            if self.step.is_multiple_of(STEPS_PER_HEARTBEAT) {
                self.send_heartbeats(trouble);
            }
            self.record_outages();
        }
    }

    fn call_store(&mut self, trouble: Option<Trouble>) {
        let now = self.now();
        for (number, host) in self.hosts.iter_mut().enumerate() {
            let is_answered = match trouble {
                Some(Trouble::Outage) => false,
                Some(Trouble::Partition(cut) | Trouble::StoreLinks(cut)) => number >= cut,
                None => true,
            };
            let is_due = (self.step + number as u32).is_multiple_of(STEPS_PER_CALL);
            if is_due {
                host.follows = is_answered;
                if is_answered {
                    host.sightings.record_answer(now);
                }
            }
        }
    }

    fn send_heartbeats(&mut self, trouble: Option<Trouble>) {
        let (now, count) = (self.now(), self.hosts.len());
        let receivers = if count <= SMALL_FLEET { RECEIVERS.0 } else { RECEIVERS.1 };
        for sender in 0..count {
            let report = self.hosts[sender].sightings.report(now);
            for _ in 0..receivers {
                let receiver = self.rng.random_range(0..count);
                let is_cut = match trouble {
                    Some(Trouble::Partition(cut)) => (sender < cut) != (receiver < cut),
                    _ => false,
                };
                if receiver == sender || is_cut {
                    continue;
                }
                let heard = Some((self.step, self.hosts[sender].follows));
                self.hosts[receiver].heard[sender] = heard;
                if let Some(report) = report {
                    self.hosts[receiver].sightings.merge_report(report, now);
                }
            }
        }
    }

    /// What each host concludes on its own, as the entry hosts do.
    fn record_outages(&mut self) {
        let (now, step) = (self.now(), self.step);
        for host in &mut self.hosts {
            let is_live = |heard: &&(u32, bool)| step - heard.0 <= LIVENESS_STEPS;
            let mut live = host.heard.iter().flatten().filter(is_live);
            if !host.follows && !live.any(|heard| heard.1) {
                host.sightings.record_outage(now);
            }
        }
    }

    fn keeps_missing(&self, host: usize) -> bool {
        self.hosts[host].sightings.grace_end(self.now()).is_some()
    }
}

macro_rules! troubles {
    ($($(#[$attribute:meta])* $name:ident: $hosts:literal hosts, $trouble:expr => keeps $keeps:literal after $steps:literal steps;)*) => {
        $($(#[$attribute])* #[test] fn $name() {
            for seed in 0..20 {
                let mut model = SightingModel::new($hosts, seed);
                model.run(60, None);
                assert!((0..$hosts).all(|host| !model.keeps_missing(host)));
                model.run(24, Some($trouble));
                model.run($steps, None);
                let keeping = (0..$hosts).filter(|host| model.keeps_missing(*host)).count();
                assert_eq!(keeping, if $keeps { $hosts } else { 0 }, "seed {seed}");
            }
        })*
    };
}

troubles! {
    /// All hosts of a domain took its partition for an outage, and kept using targets that had gone.
    a_domain_that_was_cut_off_drops_targets_soon_after: 12 hosts, Trouble::Partition(4) => keeps false after 6 steps;
    two_of_three_domains_that_were_cut_off_drop_targets_soon_after: 12 hosts, Trouble::Partition(8) => keeps false after 6 steps;
    hosts_of_a_large_fleet_that_were_cut_off_drop_targets_soon_after: 90 hosts, Trouble::Partition(30) => keeps false after 7 steps;
    hosts_without_links_to_the_store_drop_targets_at_once: 12 hosts, Trouble::StoreLinks(4) => keeps false after 0 steps;
    targets_are_kept_during_an_outage: 12 hosts, Trouble::Outage => keeps true after 0 steps;
    targets_are_kept_a_second_after_an_outage: 12 hosts, Trouble::Outage => keeps true after 4 steps;
    a_single_host_keeps_targets_after_an_outage: 1 hosts, Trouble::Outage => keeps true after 4 steps;
    the_time_for_targets_that_may_come_back_ends: 12 hosts, Trouble::Outage => keeps false after 15 steps;
    /// No other host can tell, so that the time after an outage counts from the first answer.
    hosts_that_were_all_cut_off_keep_targets_for_a_time: 3 hosts, Trouble::Partition(3) => keeps true after 4 steps;
    hosts_that_were_all_cut_off_drop_targets_in_time: 3 hosts, Trouble::Partition(3) => keeps false after 15 steps;
}

proptest! {
    /// Whoever tells whom and when, no host takes an outage of all for its own isolation.
    #[test]
    fn an_outage_is_never_taken_for_isolation(
        hosts in 1_usize..12, before in 12_u32..60, outage in 24_u32..80, after in 0_u32..4, seed in any::<u64>()
    ) {
        let mut model = SightingModel::new(hosts, seed);
        model.run(before, None);
        model.run(outage, Some(Trouble::Outage));
        prop_assert!((0..hosts).all(|host| model.keeps_missing(host)));
        model.run(after, None);
        prop_assert!((0..hosts).all(|host| model.keeps_missing(host)));
    }

    #[test]
    fn no_report_causes_a_panic(ages in prop::collection::vec((any::<u64>(), any::<u64>()), 0..8)) {
        let now = Instant::now();
        let mut sightings = StoreSightings::new(now);
        for (step, (from_ms, to_ms)) in ages.into_iter().enumerate() {
            let now = now + STEP * step as u32;
            sightings.merge_report(SightingReport { from_ms, to_ms }, now);
            sightings.record_outage(now);
            prop_assert!(sightings.report(now).is_none_or(|report| report.from_ms >= report.to_ms));
            let _ = sightings.grace_end(now);
        }
    }
}

/// The answers before and after an outage are no evidence that the store was there.
#[test]
fn spans_with_a_pause_between_them_are_not_joined() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut sightings = StoreSightings::new(start);
    sightings.record_answer(at(0));
    sightings.record_answer(at(1_500));
    sightings.record_outage(at(4_500));
    let early = SightingReport { from_ms: 1_000, to_ms: 0 };
    assert!(!sightings.merge_report(early, at(4_600)));
    assert!(sightings.grace_end(at(4_600)).is_some());
    let throughout = SightingReport { from_ms: 4_000, to_ms: 0 };
    assert!(sightings.merge_report(throughout, at(4_700)));
    assert_eq!(sightings.grace_end(at(4_700)), None);
}

/// What a store that came back from an older copy lacks is written again, whether or not the store was away.
#[test]
fn targets_that_an_older_copy_lacks_are_kept() {
    let start = Instant::now();
    let mut sightings = StoreSightings::new(start);
    sightings.record_answer(start);
    sightings.record_copy(start);
    sightings.merge_report(SightingReport { from_ms: 60_000, to_ms: 0 }, start);
    let second = Duration::from_secs(1);
    assert_eq!(sightings.grace_end(start + second), Some(start + 3 * second));
    assert_eq!(sightings.grace_end(start + 3 * second), None);
}
