//! Hosts that were all cut off from the store while it served others, and targets that leave soon after.

use std::time::Duration;
use std::time::Instant;

use standin::network::LinkCut;

use crate::entry_fleet::EntryFleet;

const CUT_TIME: Duration = Duration::from_secs(5);
/// Time from the end of the cut until the store acknowledges that the target is gone.
const LEAVE_DELAY: Duration = Duration::from_millis(1_500);
/// Longest time in which hosts go on using it: the platform's bound without the duration of a request.
const LEAVE_TIME: Duration = Duration::from_millis(1_800);

macro_rules! cuts {
    ($($(#[$attribute:meta])* $name:ident: $hosts:literal hosts, $cut:ident;)*) => {
        $($(#[$attribute])* #[tokio::test(flavor = "multi_thread", worker_threads = 4)] async fn $name() {
            check_cut($hosts, LinkCut::$cut).await;
        })*
    };
}

cuts! {
    /// The hosts took the cut for an outage of the store, and kept the target for two more seconds and a tick.
    two_hosts_that_were_cut_off_leave_a_target_that_is_gone: 2 hosts, Resetting;
    two_hosts_whose_link_was_silent_leave_a_target_that_is_gone: 2 hosts, Silent;
}

async fn check_cut(hosts: usize, cut: LinkCut) {
    let mut fleet = EntryFleet::start(0, 2).await;
    for number in 0..hosts {
        fleet.start_host_in(number, "north-a").await;
    }
    for host in 0..hosts {
        fleet.wait_until("the host is ready", async || fleet.is_ready(host).await).await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    (0..hosts).for_each(|host| fleet.cut_store(host, cut));
    tokio::time::sleep(CUT_TIME).await;
    fleet.links.heal();
    tokio::time::sleep(LEAVE_DELAY).await;
    fleet.store.remove("servers", "i-0");
    let acknowledged_at = Instant::now();
    for host in &fleet.hosts {
        let is_gone = async || !host.state().lock().board.accepts_requests("i-0");
        fleet.wait_until("the target is gone", is_gone).await;
    }
    let took = acknowledged_at.elapsed();
    assert!(took < LEAVE_TIME, "{took:?}");
}
