//! How hosts receive configuration and target state, share limits, and shut down.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::entry::EntryProcess;
use buckthornturn::interface::StateBatch;
use buckthornturn::interface::StatePart;
use coordination::fleet::StateRoute;
use futures::future::join_all;
use serde_json::Value;
use serde_json::json;
use standin::platform::PlatformStore;
use standin::platform::StoreFault;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::configuration;
use crate::entry_fleet::get;

/// Longest time until a change is in force: the lowest of the platform's bounds, 2 s for a configuration.
const APPLY_BOUND: Duration = Duration::from_secs(2);

/// Time after which hosts have new shares of a lower limit; several periodic checks fit into it.
const SHARE_SETTLE_TIME: Duration = Duration::from_secs(1);
/// Low rate limit of a customer, in requests per second; its burst is the same number of requests.
const LIMIT_RATE: f64 = 10.0;

/// Whether a host with no recent relay failures follows the store itself.
fn follows_store(host: &EntryProcess) -> bool {
    host.state().state_route(|_| false) == StateRoute::Store
}

/// Waits until a page request at a host gets a status; returns the time that took.
async fn wait_for_status(fleet: &EntryFleet, host: usize, status: u16) -> Duration {
    let started_at = Instant::now();
    fleet
        .wait_until("the expected status is answered", async || {
            fleet.send_request(host, CallerRequest::page()).await.status() == status
        })
        .await;
    started_at.elapsed()
}

#[tokio::test]
async fn a_withdrawn_key_is_refused_within_the_bound() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    assert!(wait_for_status(&fleet, 0, 401).await < APPLY_BOUND);
}

#[tokio::test]
async fn a_change_in_compacted_history_is_applied_within_the_bound() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.set_fault(StoreFault::Reset);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    fleet.store.compact();
    fleet.store.set_fault(StoreFault::None);
    assert!(wait_for_status(&fleet, 0, 401).await < APPLY_BOUND);
}

/// A watch over compacted history can miss a change until its wait ends; the host that polls for its region therefore
/// uses short waits.
#[tokio::test]
async fn a_change_missed_by_watches_is_applied_within_the_bound() {
    let fleet = EntryFleet::start(2, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.set_fault(StoreFault::StalledWatches);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    fleet.store.compact();
    assert!(wait_for_status(&fleet, 0, 401).await < APPLY_BOUND);
    assert!(wait_for_status(&fleet, 1, 401).await < APPLY_BOUND);
}

#[tokio::test]
async fn a_configuration_that_cannot_be_read_changes_nothing() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.put("config", "main", json!({ "version": 7 }));
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
}

#[tokio::test]
async fn an_invalid_target_entry_does_not_affect_other_targets() {
    let fleet = EntryFleet::start(1, 2).await;
    let mut bad = fleet.targets[0].entry("pages", "north-a");
    bad["status"]["state"] = json!("asleep");
    fleet.store.put("servers", "i-0", bad);
    fleet
        .wait_until("only the other target gets requests", async || {
            let before = fleet.targets[0].runs().len();
            for _ in 0..5 {
                fleet.send_request(0, CallerRequest::page()).await;
            }
            fleet.targets[0].runs().len() == before
        })
        .await;
}

#[tokio::test]
async fn a_closed_domain_gets_no_requests_until_it_is_opened() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.put("evacuations", "north-a", json!({}));
    assert!(wait_for_status(&fleet, 0, 503).await < APPLY_BOUND);
    fleet.store.remove("evacuations", "north-a");
    wait_for_status(&fleet, 0, 200).await;
}

#[tokio::test]
async fn a_removed_target_gets_no_requests_after_the_bound() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.remove("servers", "i-0");
    assert!(wait_for_status(&fleet, 0, 503).await < APPLY_BOUND);
}

#[tokio::test]
async fn an_entry_that_expired_during_a_store_outage_is_kept_for_a_time() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.set_fault(StoreFault::Busy);
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.store.remove("servers", "i-0");
    fleet.store.set_fault(StoreFault::None);
    for _ in 0..10 {
        assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert!(wait_for_status(&fleet, 0, 503).await < Duration::from_secs(4));
}

/// A host that alone loses its store must not keep a removed target as one that may return.
#[tokio::test]
async fn a_host_partitioned_alone_drops_a_removed_target() {
    let mut fleet = EntryFleet::start(1, 1).await;
    let isolated_store = PlatformStore::start().await.unwrap();
    isolated_store.put("config", "main", configuration("00000001", &["key-1"], 1_000.0));
    isolated_store.put("servers", "i-0", fleet.targets[0].entry("pages", "north-a"));
    fleet.start_host(1, isolated_store.address()).await;
    fleet.wait_until("the host is ready", async || fleet.is_ready(1).await).await;
    isolated_store.set_fault(StoreFault::Reset);
    tokio::time::sleep(Duration::from_secs(1)).await;
    fleet.store.remove("servers", "i-0");
    isolated_store.remove("servers", "i-0");
    isolated_store.set_fault(StoreFault::None);
    assert!(wait_for_status(&fleet, 1, 503).await < APPLY_BOUND);
}

#[tokio::test]
async fn a_host_without_a_store_reads_state_from_a_peer() {
    let mut fleet = EntryFleet::start(1, 1).await;
    let unavailable_store = PlatformStore::start().await.unwrap();
    unavailable_store.set_fault(StoreFault::Busy);
    fleet.start_host(1, unavailable_store.address()).await;
    fleet.wait_until("the host is ready", async || fleet.is_ready(1).await).await;
    assert_eq!(fleet.send_request(1, CallerRequest::page()).await.status(), 200);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    assert!(wait_for_status(&fleet, 1, 401).await < Duration::from_secs(5));
}

#[tokio::test]
async fn an_idle_host_makes_few_calls() {
    let fleet = EntryFleet::start(1, 1).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.store.calls();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let calls = fleet.store.calls() - before;
    assert!(calls <= 15, "{calls} calls in 4 s");
}

/// In a large fleet only two hosts of a region watch the store; the others receive state from them.
#[tokio::test]
async fn a_large_fleet_watches_the_store_through_two_hosts() {
    const HOSTS: usize = 20;
    let fleet = EntryFleet::start(HOSTS, 1).await;
    fleet
        .wait_until("all hosts know each other", async || {
            fleet
                .hosts
                .iter()
                .all(|host| host.state().host_and_target_counts().0 == HOSTS as u64 - 1)
        })
        .await;
    fleet
        .wait_until("all hosts but two have a relay", async || {
            fleet.hosts.iter().filter(|host| follows_store(host)).count() == 2
        })
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = fleet.store.calls();
    for version in 2..7 {
        let version = format!("{version:08x}");
        fleet.store.put("config", "main", configuration(&version, &["key-1"], 1_000.0));
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let calls = fleet.store.calls() - before;
    assert!(calls <= 40, "{calls} calls for five changes and 2 s of short watches");
    fleet.store.put("config", "main", configuration("00000007", &["key-2"], 1_000.0));
    for host in 0..HOSTS {
        assert!(wait_for_status(&fleet, host, 401).await < APPLY_BOUND);
    }
}

/// The hosts that would relay the state cannot reach the store. The others once all turned to the store then.
#[tokio::test]
async fn two_other_hosts_follow_the_store_if_the_first_two_cannot_reach_it() {
    const HOSTS: usize = 24;
    let mut fleet = EntryFleet::start(0, 1).await;
    let silent = std::net::TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    for number in 0..HOSTS {
        // host-0 and host-1 are the first by name; nothing listens at the address that they are given.
        let store = if number < 2 { silent } else { fleet.store.address() };
        fleet.start_host(number, store).await;
    }
    for host in 0..HOSTS {
        fleet.wait_until("the host is ready", async || fleet.is_ready(host).await).await;
    }
    fleet
        .wait_until("two of the hosts that reach the store follow it", async || {
            fleet.hosts.iter().skip(2).filter(|host| follows_store(host)).count() == 2
        })
        .await;
    let before = fleet.store.calls();
    for version in 2..7 {
        let version = format!("{version:08x}");
        fleet.store.put("config", "main", configuration(&version, &["key-1"], 1_000.0));
        tokio::time::sleep(Duration::from_millis(400)).await;
    }
    let calls = fleet.store.calls() - before;
    assert!(calls <= 40, "{calls} calls for five changes and 2 s of short watches");
    fleet.store.put("config", "main", configuration("00000007", &["key-2"], 1_000.0));
    for host in 0..HOSTS {
        assert!(wait_for_status(&fleet, host, 401).await < APPLY_BOUND);
    }
}

/// Forwards connections to an address until it is dropped.
async fn start_forwarder(address: SocketAddr) -> (SocketAddr, JoinSet<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let own = listener.local_addr().unwrap();
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut connections = JoinSet::new();
        while let Ok((mut caller, _)) = listener.accept().await {
            connections.spawn(async move {
                let mut store = TcpStream::connect(address).await.unwrap();
                let _ = tokio::io::copy_bidirectional(&mut caller, &mut store).await;
            });
        }
    });
    (own, tasks)
}

/// Both relays of a region lose the store in service. Their followers once heard of it from heartbeats only, after seconds.
#[tokio::test]
async fn hosts_leave_relays_that_lose_the_store() {
    const HOSTS: usize = 20;
    let mut fleet = EntryFleet::start(0, 1).await;
    let (forwarder, connections) = start_forwarder(fleet.store.address()).await;
    for number in 0..HOSTS {
        let store = if number < 2 { forwarder } else { fleet.store.address() };
        fleet.start_host(number, store).await;
    }
    fleet
        .wait_until("only the first two hosts follow the store", async || {
            fleet.hosts.iter().take(2).all(follows_store)
                && !fleet.hosts.iter().skip(2).any(follows_store)
        })
        .await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    drop(connections);
    fleet.store.put("config", "main", configuration("00000002", &["key-2"], 1_000.0));
    for host in 0..HOSTS {
        assert!(wait_for_status(&fleet, host, 401).await < APPLY_BOUND);
    }
}

/// Hosts that took a follower for a relay once waited there, and heard of changes from heartbeats only.
#[tokio::test]
async fn followers_refuse_watches_at_once() {
    const HOSTS: usize = 20;
    let fleet = EntryFleet::start(HOSTS, 1).await;
    fleet
        .wait_until("all hosts but two have a relay", async || {
            fleet.hosts.iter().filter(|host| follows_store(host)).count() == 2
        })
        .await;
    let watches = (0..HOSTS).map(|host| {
        let known = fleet.hosts[host].state().snapshot(StatePart::Targets);
        let path =
            format!("/state/targets?after={}&era={}&wait_ms=5000", known.revision, known.era);
        let mesh = fleet.ports[host].mesh;
        async move { tokio::time::timeout(APPLY_BOUND, get(mesh, &path)).await.ok() }
    });
    let answers = join_all(watches).await;
    let refused = answers.iter().flatten().filter(|answer| answer.status() == 503).count();
    // A host that knew few others when it started has called the store, and serves those who wait at it.
    assert!(refused >= HOSTS / 2, "{refused} hosts refused");
    assert!(answers[0].is_none(), "the first relay answered {:?}", answers[0]);
}

/// A relay that is behind once brought back targets that its follower knew to leave.
#[tokio::test]
async fn older_state_of_a_relay_is_not_applied() {
    let fleet = EntryFleet::start(1, 1).await;
    let state = fleet.hosts[0].state();
    let known = state.snapshot(StatePart::Targets);
    let older = StateBatch { latest: known.latest - 1, ..known.clone() };
    assert!(state.is_outdated(StatePart::Targets, &older));
    assert!(!state.is_outdated(StatePart::Targets, &known));
}

#[tokio::test]
async fn look_ups_list_hosts_until_they_shut_down() {
    let mut fleet = EntryFleet::start(2, 1).await;
    let path = "/resolve?name=pages.example&region=north&zone=north-a";
    let named_host_count = async |fleet: &EntryFleet| -> usize {
        let answer = get(fleet.ports[0].look_ups, path).await;
        let body: Value = serde_json::from_slice(answer.body()).unwrap();
        body["addresses"].as_array().map_or(0, Vec::len)
    };
    fleet.wait_until("both hosts are listed", async || named_host_count(&fleet).await == 2).await;
    let host = fleet.hosts.pop().unwrap();
    let shutdown = tokio::spawn(host.shutdown());
    fleet.wait_until("one host is listed", async || named_host_count(&fleet).await == 1).await;
    assert!(shutdown.await.unwrap());
}

#[tokio::test]
async fn a_host_that_shuts_down_is_not_ready_and_still_serves() {
    let mut fleet = EntryFleet::start(1, 1).await;
    let host = fleet.hosts.pop().unwrap();
    let shutdown = tokio::spawn(host.shutdown());
    fleet.wait_until("the host is not ready", async || !fleet.is_ready(0).await).await;
    let answer = fleet.send_request(0, CallerRequest::payment()).await;
    assert_eq!(
        (answer.status().as_u16(), &answer.headers()["connection"]),
        (200, &"close".parse().unwrap())
    );
    assert!(shutdown.await.unwrap());
}

#[tokio::test]
async fn hosts_share_the_rate_limit_of_a_customer() {
    let fleet = EntryFleet::start(3, 1).await;
    let limited = configuration("2", &["key-2"], LIMIT_RATE);
    fleet.store.put("config", "main", limited);
    let call = || CallerRequest::page().with_header("x-credential", "key-2");
    for host in 0..3 {
        fleet
            .wait_until("the new key is accepted", async || {
                fleet.send_request(host, call()).await.status() != 401
            })
            .await;
    }
    tokio::time::sleep(SHARE_SETTLE_TIME).await;
    let mut served = [0; 3];
    let started_at = Instant::now();
    for _ in 0..30 {
        for (host, served) in served.iter_mut().enumerate() {
            *served += u32::from(fleet.send_request(host, call()).await.status() == 200);
        }
    }
    let seconds = started_at.elapsed().as_secs_f64();
    let tolerated = (LIMIT_RATE * seconds + LIMIT_RATE) * 1.1 + 20.0;
    assert!(f64::from(served.iter().sum::<u32>()) <= tolerated, "{served:?} in {seconds} s");
    assert!(served.iter().all(|served| *served > 0), "{served:?}");
}

#[tokio::test]
async fn a_host_without_state_serves_no_state_to_peers() {
    let mut fleet = EntryFleet::start(1, 1).await;
    let unreachable_store = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    fleet.start_host_without_peers(1, unreachable_store).await;
    assert_eq!(get(fleet.ports[0].mesh, "/state/targets").await.status(), 200);
    assert_eq!(get(fleet.ports[1].mesh, "/state/targets").await.status(), 503);
}

/// A request accepted in the second half of the shutdown limit might not finish before it.
#[tokio::test]
async fn a_host_accepts_no_requests_in_the_second_half_of_its_shutdown() {
    let mut fleet = EntryFleet::start(1, 1).await;
    let host = fleet.hosts.remove(0);
    let half = host.state().bounds().shutdown_timeout() / 2;
    let started_at = Instant::now();
    let shutdown = tokio::spawn(host.shutdown());
    assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
    tokio::time::sleep_until((started_at + half).into()).await;
    assert!(fleet.try_send_request(0, CallerRequest::page()).await.is_none());
    assert!(shutdown.await.unwrap());
}
