//! What callers are told of requests that may have run.

use serde_json::Value;
use standin::network::LinkCut;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::configuration;
use crate::raw_target::RawTarget;

const HEAD: &str = "POST /pages/1 HTTP/1.1\r\nhost: pages.example\r\nconnection: close\r\n\
                    x-attempt-id: 0011223344556677\r\nx-request-deadline: 9000\r\nx-credential: key-1\r\n\
                    x-affinity-key: 17\r\ncontent-length: 10\r\n\r\n";

/// Why the peer does not serve the request that the first host lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum PeerState {
    Serves,
    HasNoTarget,
    HasNoToken,
    HasNoKey,
    ReachesNone,
}

/// Each case: state of the peer, and the status that the caller of a lost repeatable request gets.
macro_rules! lost_requests {
    ($($name:ident: $state:ident => $status:literal;)*) => {$(
        #[tokio::test]
        async fn $name() {
            check_lost_request(PeerState::$state, $status).await;
        }
    )*};
}

lost_requests! {
    a_peer_without_targets_does_not_make_a_lost_request_not_run: HasNoTarget => 502;
    a_peer_without_tokens_does_not_make_a_lost_request_not_run: HasNoToken => 502;
    a_peer_that_knows_no_such_key_does_not_make_a_lost_request_not_run: HasNoKey => 502;
    a_peer_without_links_does_not_make_a_lost_request_not_run: ReachesNone => 502;
    a_lost_request_gets_the_answer_of_a_peer: Serves => 200;
}

/// A request is lost after it was sent, by a host that has no link to targets any more.
async fn check_lost_request(state: PeerState, status: u16) {
    let fleet = EntryFleet::start(2, 1).await;
    let document = slow_configuration(if state == PeerState::HasNoToken { 0.02 } else { 1_000.0 });
    let (lost, other) = (RawTarget::start().await, RawTarget::start().await);
    for target in [&lost, &other] {
        fleet.links.add_address(target.address, "targets");
    }
    fleet.replace_target(0, lost.address);
    fleet.store.put("config", "main", slow_configuration(1_000.0));
    for host in 0..2 {
        let serves = async || {
            let answer = fleet.try_send_request(host, CallerRequest::payment()).await;
            answer.is_some_and(|answer| answer.status() == 200) && !lost.requests().is_empty()
        };
        fleet.wait_until("the host reaches the target", serves).await;
    }
    for _ in 0..30 {
        fleet.send_request(0, CallerRequest::page()).await;
    }
    let mut caller = TcpStream::connect(fleet.ports[0].callers).await.unwrap();
    caller.write_all(format!("{HEAD}first").as_bytes()).await.unwrap();
    lost.wait_for_body("first").await;
    fleet.cut_host(0, LinkCut::Refusing);
    let forwards = async || {
        let answer = fleet.try_send_request(0, CallerRequest::payment()).await;
        answer.is_some_and(|answer| answer.status() == 200)
    };
    fleet.wait_until("the host forwards", forwards).await;
    match state {
        PeerState::Serves => fleet.replace_target(0, other.address),
        PeerState::HasNoTarget => fleet.store.remove("servers", fleet.targets[0].name()),
        PeerState::HasNoKey => drop(fleet.store.put("config", "main", keyless_configuration())),
        PeerState::HasNoToken => drop(fleet.store.put("config", "main", document)),
        PeerState::ReachesNone => fleet.cut_host(1, LinkCut::Refusing),
    }
    let is_set = async || {
        let answer = fleet.try_send_request(1, CallerRequest::payment()).await;
        let status = answer.map_or(0, |answer| answer.status().as_u16());
        match state {
            PeerState::Serves => !other.requests().is_empty(),
            PeerState::HasNoToken => status == 429,
            PeerState::HasNoKey => status == 401,
            PeerState::HasNoTarget | PeerState::ReachesNone => status == 503,
        }
    };
    fleet.wait_until("the peer is as it is to be", is_set).await;
    drop(lost);
    caller.write_all(b"other").await.unwrap();
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
    assert!(!answer.contains("not-run"), "{answer}");
}

/// A configuration under which a request may take long, with a customer's limit per second.
fn slow_configuration(rate: f64) -> Value {
    let version = if rate < 1.0 { "3" } else { "2" };
    let mut document = configuration(version, &["key-1"], rate);
    for resource in document["resources"].as_array_mut().unwrap() {
        if resource["resource_kind"] == "routes" {
            resource["spec"]["timeout_ms"] = 8_000.into();
        }
    }
    document
}

fn keyless_configuration() -> Value {
    let mut document = slow_configuration(1_000.0);
    document["version"] = "4".into();
    for resource in document["resources"].as_array_mut().unwrap() {
        if resource["resource_kind"] == "tenants" {
            resource["spec"]["api_keys"] = serde_json::json!(["key-2"]);
        }
    }
    document
}
