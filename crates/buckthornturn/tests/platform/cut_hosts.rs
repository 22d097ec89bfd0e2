//! Hosts that were cut off from the store while it served others, or that lost it with all others, and targets that leave soon after.

use std::time::Duration;
use std::time::Instant;

use buckthornturn::interface::StatePart;
use futures::future::join_all;
use standin::network::LinkCut;
use standin::platform::StoreFault;

use crate::entry_fleet::EntryFleet;

const CUT_TIME: Duration = Duration::from_secs(5);
/// Time after the end of a cut from which the platform's bound on leaving targets holds.
const CALM_TIME: Duration = Duration::from_secs(3);
/// Longest time in which hosts go on using a target that is gone: the platform's bound without the duration of a request.
const LEAVE_TIME: Duration = Duration::from_millis(1_800);
const TARGETS: usize = 6;
/// Address at which no store answers.
const DEAD_STORE: ([u8; 4], u16) = ([127, 0, 0, 1], 9);

/// Cuts of links to the store, and the removals after the last of them.
struct CutPlan {
    hosts: usize,
    /// Number of hosts whose links are cut.
    cut_hosts: usize,
    cut: LinkCut,
    /// Duration of each cut, with the time between its end and the next one.
    cuts: &'static [(Duration, Duration)],
    /// Times from the end of the last cut until the store acknowledges that a target is gone, one target each.
    removals: Vec<Duration>,
}

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

const ONE_CUT: &[(Duration, Duration)] = &[(CUT_TIME, Duration::ZERO)];
const THREE_CUTS: &[(Duration, Duration)] =
    &[(CUT_TIME, ms(1_000)), (CUT_TIME, ms(2_500)), (CUT_TIME, ms(0))];

macro_rules! cuts {
    ($($(#[$attribute:meta])* $name:ident: $cut_hosts:literal of $hosts:literal hosts, $cut:ident, $cuts:ident, removed $removals:expr;)*) => {
        $($(#[$attribute])* #[tokio::test(flavor = "multi_thread", worker_threads = 4)] async fn $name() {
            let (hosts, cut_hosts, cut, cuts) = ($hosts, $cut_hosts, LinkCut::$cut, $cuts);
            check_cuts(CutPlan { hosts, cut_hosts, cut, cuts, removals: $removals.to_vec() }).await;
        })*
    };
}

cuts! {
    /// The hosts took the cut for an outage of the store, and kept the target for two more seconds and a tick.
    two_hosts_that_were_cut_off_leave_a_target_that_is_gone: 2 of 2 hosts, Resetting, ONE_CUT, removed [ms(1_500)];
    two_hosts_whose_link_was_silent_leave_a_target_that_is_gone: 2 of 2 hosts, Silent, ONE_CUT, removed [ms(1_500)];
    /// Guards against a grace that counts from each removal, or that a later one extends.
    hosts_leave_targets_that_are_gone_just_after_a_cut: 2 of 2 hosts, Resetting, ONE_CUT, removed [ms(200), ms(280), ms(700), ms(780)];
    hosts_leave_targets_that_are_gone_just_after_a_silent_cut: 2 of 2 hosts, Silent, ONE_CUT, removed [ms(200), ms(280), ms(700), ms(780)];
    hosts_leave_targets_that_are_gone_in_several_batches: 2 of 2 hosts, Silent, ONE_CUT, removed [ms(1_500), ms(1_580), ms(2_400), ms(3_000), ms(6_000)];
    /// Guards against a cut that the next one hides.
    hosts_leave_targets_that_are_gone_after_cuts_in_series: 2 of 2 hosts, Silent, THREE_CUTS, removed [ms(1_500), ms(3_000)];
    hosts_leave_targets_that_are_gone_after_resets_in_series: 2 of 2 hosts, Resetting, THREE_CUTS, removed [ms(1_500), ms(3_000)];
    /// Guards against a host that takes its own cut for an outage although its peers follow the store.
    a_host_that_was_cut_off_beside_others_leaves_targets_that_are_gone: 1 of 3 hosts, Silent, ONE_CUT, removed [ms(200), ms(1_500), ms(3_000)];
    most_hosts_that_were_cut_off_leave_targets_that_are_gone: 3 of 4 hosts, Resetting, ONE_CUT, removed [ms(200), ms(1_500), ms(3_000)];
    /// Guards against relays that keep a target for those who read from them.
    hosts_with_relays_that_were_cut_off_leave_targets_that_are_gone: 20 of 20 hosts, Silent, ONE_CUT, removed [ms(200), ms(1_500), ms(3_000)];
}

async fn start_fleet(hosts: usize) -> EntryFleet {
    let mut fleet = EntryFleet::start(0, TARGETS).await;
    for number in 0..hosts {
        fleet.start_host_in(number, "north-a").await;
    }
    for host in 0..hosts {
        fleet.wait_until("the host is ready", async || fleet.is_ready(host).await).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
}

async fn check_cuts(plan: CutPlan) {
    let fleet = start_fleet(plan.hosts).await;
    for (duration, pause) in plan.cuts {
        (0..plan.cut_hosts).for_each(|host| fleet.cut_store(host, plan.cut));
        tokio::time::sleep(*duration).await;
        fleet.links.heal();
        tokio::time::sleep(*pause).await;
    }
    check_removals(&fleet, Instant::now(), &plan.removals).await;
}

/// Removes a target at each of the times after `healed_at`, and checks that all hosts leave it in time.
async fn check_removals(fleet: &EntryFleet, healed_at: Instant, removals: &[Duration]) {
    let removals = removals.iter().enumerate().map(|(number, delay)| async move {
        let target = format!("i-{number}");
        tokio::time::sleep_until((healed_at + *delay).into()).await;
        fleet.store.remove("servers", &target);
        let acknowledged_at = Instant::now();
        for host in &fleet.hosts {
            let is_gone = async || !host.state().lock().board.accepts_requests(&target);
            fleet.wait_until("the target is gone", is_gone).await;
        }
        let calm_from = healed_at + CALM_TIME;
        let end = (acknowledged_at + LEAVE_TIME).max(calm_from);
        let late = Instant::now().saturating_duration_since(end);
        assert!(late.is_zero(), "{target}: {late:?} late");
    });
    join_all(removals).await;
}

/// Guards against an outage of the store after which targets that leave in calm are kept.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn hosts_leave_targets_that_are_gone_after_an_outage_of_the_store() {
    let fleet = start_fleet(2).await;
    fleet.store.set_fault(StoreFault::Reset);
    tokio::time::sleep(CUT_TIME).await;
    fleet.store.set_fault(StoreFault::None);
    check_removals(&fleet, Instant::now(), &[ms(3_000), ms(3_080), ms(4_000), ms(6_000)]).await;
}

/// Guards against a target that a host reads from a peer which keeps it for a time, and that nothing removes from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_target_that_a_peer_keeps_for_a_time_is_not_taken_over() {
    let mut fleet = start_fleet(1).await;
    fleet.cut_store(0, LinkCut::Resetting);
    tokio::time::sleep(CUT_TIME).await;
    fleet.links.heal();
    tokio::time::sleep(ms(200)).await;
    let known = fleet.hosts[0].state().applied(StatePart::Targets);
    fleet.store.remove("servers", "i-0");
    let has_read = async || fleet.hosts[0].state().applied(StatePart::Targets) > known;
    fleet.wait_until("the removal is read", has_read).await;
    fleet.start_host(1, DEAD_STORE.into()).await;
    fleet.wait_until("the host is ready", async || fleet.is_ready(1).await).await;
    tokio::time::sleep(CALM_TIME).await;
    for host in &fleet.hosts {
        assert!(!host.state().lock().board.accepts_requests("i-0"));
        assert!(host.state().lock().board.accepts_requests("i-1"));
    }
}
