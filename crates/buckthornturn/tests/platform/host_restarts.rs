//! What hosts that start again know of targets that have left and of keys that were withdrawn.

use std::time::Duration;

use standin::platform::StoreFault;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::configuration;

const REQUESTS: usize = 20;

/// Which hosts start again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Restart {
    /// One host, beside others that go on, while the store answers.
    One,
    /// One host, beside others that go on, while the store answers none.
    OneInOutage,
    /// All hosts at once.
    All,
}

macro_rules! restarts {
    ($($(#[$attribute:meta])* $name:ident: $hosts:literal hosts, $restart:ident;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            check_restart($hosts, Restart::$restart).await;
        })*
    };
}

restarts! {
    /// Guards against state that outlives its removal in what hosts hand to one that starts.
    a_host_that_restarts_uses_no_target_and_no_key_that_is_gone: 3 hosts, One;
    a_host_that_restarts_in_an_outage_uses_no_target_and_no_key_that_is_gone: 3 hosts, OneInOutage;
    a_fleet_that_restarts_uses_no_target_and_no_key_that_is_gone: 3 hosts, All;
}

async fn check_restart(hosts: usize, restart: Restart) {
    let mut fleet = EntryFleet::start(hosts, 2).await;
    assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    fleet.store.remove("servers", "i-0");
    for host in 0..hosts {
        let is_withdrawn =
            async || fleet.send_request(host, CallerRequest::page()).await.status() == 401;
        fleet.wait_until("the key is withdrawn", is_withdrawn).await;
        let state = fleet.hosts[host].state();
        let is_gone = async || !state.lock().board.accepts_requests("i-0");
        fleet.wait_until("the target is gone", is_gone).await;
    }
    let before = fleet.targets[0].runs().len();
    if restart == Restart::OneInOutage {
        fleet.store.set_fault(StoreFault::Reset);
        // The outage is known to all hosts, so that they would keep targets that go missing.
        tokio::time::sleep(Duration::from_secs(4)).await;
    }
    let restarted = match restart {
        Restart::All => {
            fleet.restart_all_hosts().await;
            0..hosts
        }
        Restart::One | Restart::OneInOutage => {
            drop(fleet.hosts.pop());
            fleet.ports.pop();
            fleet.start_host(hosts - 1, fleet.store.address()).await;
            hosts - 1..hosts
        }
    };
    for host in restarted {
        fleet.wait_until("the host is ready", async || fleet.is_ready(host).await).await;
        for number in 0..REQUESTS {
            let object = number.to_string();
            let request = || CallerRequest::page().with_header("x-affinity-key", &object);
            let refused = fleet.send_request(host, request()).await;
            assert_eq!(refused.status(), 401, "a request with the key that was withdrawn");
            let served =
                fleet.send_request(host, request().with_header("x-credential", "key-2")).await;
            assert_eq!(served.status(), 200);
        }
    }
    assert_eq!(fleet.targets[0].runs().len(), before, "requests at the target that left");
}
