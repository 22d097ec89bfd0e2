//! Requests that must run at most once: tickets, claims of idempotency keys, forwarding to the issuer, and hand-over of
//! outcomes at shutdown.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::MemberHealth;
use buckthornturn::settings::CallerBounds;
use support::KEY_BOREAL;
use support::RawAnswer;
use support::ScriptedTarget;
use support::StoreMode;
use support::TargetStep;
use support::TestHost;
use support::TestHostOptions;
use support::exchange;
use support::request;
use support::wait_until;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SLOW_STEP: TargetStep = TargetStep::EchoSlowly(Duration::from_millis(200));
const IDEMPOTENCY_HEADER: &str = "idempotency-key: sale-17";

async fn pay(host: &TestHost, header: &str) -> RawAnswer {
    host.send("POST /pay/17", &[header], "sum").await
}

/// Each case: the target's step, the header that both uses carry (`ticket` stands for a new ticket), and for each use the
/// expected status, outcome and number of requests at the target so far.
macro_rules! used_twice {
    ($($name:ident: $step:expr, $header:expr => $first:expr, $second:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = ScriptedTarget::start(&[$step]).await;
            let host = TestHost::start(&[target.address]).await;
            let header = match $header {
                "ticket" => host.fetch_ticket().await,
                header => header.to_owned(),
            };
            let answer = pay(&host, &header).await;
            assert_eq!((answer.status, answer.outcome(), target.received_requests().len()), $first);
            let recorded = || !header.starts_with("idem") || host.store.contains_text("\"outcome\":{");
            wait_until("the outcome is recorded", recorded).await;
            let answer = pay(&host, &header).await;
            assert_eq!((answer.status, answer.outcome(), target.received_requests().len()), $second);
        }
    )*};
}

used_twice! {
    ticket_is_replayed: TargetStep::EchoPath, "ticket" => (200, "", 1), (200, "", 1);
    ticket_of_a_lost_answer_stays_unknown: TargetStep::Close, "ticket" => (502, "unknown", 1), (409, "unknown", 1);
    ticket_of_a_shed_request_may_be_used_again: TargetStep::Shed, "ticket" => (503, "not-run", 1), (503, "not-run", 2);
    claim_is_replayed: TargetStep::EchoPath, IDEMPOTENCY_HEADER => (200, "", 1), (200, "", 1);
    claim_of_a_lost_answer_stays_unknown: TargetStep::Close, IDEMPOTENCY_HEADER => (502, "unknown", 1), (409, "unknown", 1);
}

#[tokio::test]
async fn replay_is_the_same_answer() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let ticket = host.fetch_ticket().await;
    assert_eq!(pay(&host, &ticket).await.body(), "/pay/17");
    let answer = pay(&host, &ticket).await;
    assert_eq!((answer.body(), answer.header("buckthornturn-replayed")), ("/pay/17", Some("true")));
}

#[tokio::test]
async fn large_answer_is_recorded_as_a_digest() {
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n{}", "x".repeat(70_000));
    let target = ScriptedTarget::start(&[TargetStep::Send(text.leak())]).await;
    let host = TestHost::start(&[target.address]).await;
    let ticket = host.fetch_ticket().await;
    assert_eq!(pay(&host, &ticket).await.body().len(), 70_000);
    let answer = pay(&host, &ticket).await;
    assert_eq!(
        (answer.status, answer.outcome(), target.received_requests().len()),
        (409, "unknown", 1)
    );
    assert!(answer.body().contains("\"answer_status\":200"), "{}", answer.body());
}

#[tokio::test]
async fn concurrent_uses_of_a_ticket_run_once_and_return_the_same_answer() {
    let target = ScriptedTarget::start(&[SLOW_STEP]).await;
    let host = TestHost::start(&[target.address]).await;
    let ticket = host.fetch_ticket().await;
    let (first, second) = tokio::join!(pay(&host, &ticket), pay(&host, &ticket));
    assert_eq!((first.body(), second.body()), ("/pay/17", "/pay/17"));
    assert_eq!(target.received_requests().len(), 1);
}

#[tokio::test]
async fn concurrent_uses_of_an_idempotency_key_run_once() {
    let target = ScriptedTarget::start(&[SLOW_STEP]).await;
    let host = TestHost::start(&[target.address]).await;
    let (first, second) =
        tokio::join!(pay(&host, IDEMPOTENCY_HEADER), pay(&host, IDEMPOTENCY_HEADER));
    let mut results = [(first.status, first.outcome()), (second.status, second.outcome())];
    results.sort_unstable();
    assert_eq!(results, [(200, ""), (409, "unknown")]);
    assert_eq!(target.received_requests().len(), 1);
}

#[tokio::test]
async fn outcome_is_recorded_after_the_caller_disconnects() {
    let target = ScriptedTarget::start(&[SLOW_STEP]).await;
    let host = TestHost::start(&[target.address]).await;
    let ticket = host.fetch_ticket().await;
    let mut caller = TcpStream::connect(host.address).await.unwrap();
    let text = request("POST /pay/17", &[&ticket], "sum");
    caller.write_all(text.as_bytes()).await.unwrap();
    wait_until("the target has the request", || target.received_requests().len() == 1).await;
    drop(caller);
    let answer = pay(&host, &ticket).await;
    assert_eq!(
        (answer.status, answer.body(), target.received_requests().len()),
        (200, "/pay/17", 1)
    );
}

#[tokio::test]
async fn tickets_are_refused_to_other_customers_and_after_expiry() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bounds = CallerBounds { ticket_life_seconds: 1, ..CallerBounds::default() };
    let options = TestHostOptions { bounds, ..TestHostOptions::default() };
    let host = TestHost::start_with(&[target.address], options).await;
    let ticket = host.fetch_ticket().await;
    let boreal = format!("authorization: Bearer {KEY_BOREAL}");
    let answer = host.send("POST /pay", &[&ticket, &boreal], "sum").await;
    assert_eq!((answer.status, answer.outcome()), (403, "not-run"));
    let answer = pay(&host, &format!("{ticket}x")).await;
    assert_eq!((answer.status, answer.outcome()), (403, "not-run"));
    let answer = pay(&host, "buckthornturn-ticket: nonsense").await;
    assert_eq!((answer.status, answer.outcome()), (400, "not-run"));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let answer = pay(&host, &ticket).await;
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    assert!(target.received_requests().is_empty());
}

#[tokio::test]
async fn full_outcome_table_refuses_with_not_run() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bounds = CallerBounds { max_outcomes: 4, ..CallerBounds::default() };
    let options = TestHostOptions { bounds, ..TestHostOptions::default() };
    let host = TestHost::start_with(&[target.address], options).await;
    assert_eq!(pay(&host, &host.fetch_ticket().await).await.status, 200);
    let answer = pay(&host, &host.fetch_ticket().await).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(target.received_requests().len(), 1);
}

struct HostPair {
    target: ScriptedTarget,
    issuer: TestHost,
    other: TestHost,
}

impl HostPair {
    async fn start(health: MemberHealth, incarnation: u64) -> Self {
        let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
        let issuer = TestHost::start(&[target.address]).await;
        let options = TestHostOptions { host: "host-2", ..TestHostOptions::default() };
        let other = TestHost::start_with(&[target.address], options).await;
        other.peers.set_member("host-1", incarnation, Some(issuer.address), health);
        Self { target, issuer, other }
    }
}

#[tokio::test]
async fn ticket_is_forwarded_to_its_issuer() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.fetch_ticket().await;
    let (first, second) = tokio::join!(pay(&other, &ticket), pay(&issuer, &ticket));
    assert_eq!((first.body(), second.body()), ("/pay/17", "/pay/17"));
    assert_eq!(target.received_requests().len(), 1);
    assert!(!target.received_requests()[0].contains("bt_"), "{:?}", target.received_requests());
}

/// Each case: health and incarnation of the issuer in the view of another host, whether that view has its address, and
/// the expected status and reason when the other host receives the issuer's ticket after the issuer has stopped.
macro_rules! issuer_unavailable {
    ($($name:ident: $health:expr, $incarnation:expr, $is_known:expr => $status:expr, $reason:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let HostPair { target, issuer, other } = HostPair::start($health, $incarnation).await;
            let ticket = issuer.fetch_ticket().await;
            let address = issuer.address;
            let _ = issuer.shut_down(Duration::ZERO).await;
            wait_until("the issuer's listener is closed", || std::net::TcpStream::connect(address).is_err()).await;
            if !$is_known {
                other.peers.set_member("host-1", 0, None, MemberHealth::Suspect);
            }
            let answer = pay(&other, &ticket).await;
            let result = (answer.status, answer.outcome(), &*answer.reason());
            assert_eq!(result, ($status, "unknown", $reason));
            assert!(target.received_requests().is_empty());
        }
    )*};
}

issuer_unavailable! {
    restarted_issuer_runs_nothing: MemberHealth::Live, 2, true => 502, "issuer-gone";
    gone_issuer_leaves_the_outcome_unknown: MemberHealth::Gone, 1, true => 502, "issuer-gone";
    issuer_that_refuses_connections_is_unreachable: MemberHealth::Live, 1, true => 503, "issuer-unreachable";
    unknown_issuer_is_unreachable: MemberHealth::Live, 1, false => 503, "issuer-unreachable";
}

#[tokio::test]
async fn host_that_cannot_ask_the_issuer_answers_unknown() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.fetch_ticket().await;
    assert_eq!(pay(&issuer, &ticket).await.status, 200);
    other.change_configuration(|state| state.services[0].routes.clear());
    let answer = pay(&other, &ticket).await;
    assert_eq!(
        (answer.status, answer.outcome(), target.received_requests().len()),
        (403, "unknown", 1)
    );
}

#[tokio::test]
async fn forwarded_request_is_not_forwarded_again() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.fetch_ticket().await;
    other.peers.set_member("host-1", 1, Some(other.address), MemberHealth::Live);
    let answer = pay(&other, &ticket).await;
    assert_eq!((answer.status, &*answer.reason()), (502, "ticket-misrouted"));
    assert!(target.received_requests().is_empty());
}

#[tokio::test]
async fn outcomes_are_handed_over_to_a_peer_at_shutdown() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.fetch_ticket().await;
    assert_eq!(pay(&issuer, &ticket).await.status, 200);
    issuer.peers.set_member("host-2", 1, Some(other.address), MemberHealth::Live);
    issuer.peers.set_handler("host-2", Arc::clone(other.service.tickets()) as _);
    assert!(issuer.shut_down(Duration::from_secs(3)).await);
    other.peers.set_member("host-1", 1, None, MemberHealth::Gone);
    let answer = pay(&other, &ticket).await;
    assert_eq!(
        (answer.status, answer.body(), target.received_requests().len()),
        (200, "/pay/17", 1)
    );
    let options = TestHostOptions { host: "host-3", ..TestHostOptions::default() };
    let third = TestHost::start_with(&[target.address], options).await;
    third.peers.set_member("host-1", 1, None, MemberHealth::Gone);
    third.peers.set_member("host-2", 1, Some(other.address), MemberHealth::Live);
    let answer = pay(&third, &ticket).await;
    assert_eq!(
        (answer.status, answer.body(), target.received_requests().len()),
        (200, "/pay/17", 1)
    );
}

/// Each case: the store's mode, and the expected status, outcome and number of requests at the target for the first use.
macro_rules! claim_under_store_fault {
    ($($name:ident: $mode:expr => $first:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
            let host = TestHost::start(&[target.address]).await;
            host.store.set_mode($mode);
            let answer = pay(&host, IDEMPOTENCY_HEADER).await;
            assert_eq!((answer.status, answer.outcome(), target.received_requests().len()), $first);
        }
    )*};
}

claim_under_store_fault! {
    claim_whose_answer_is_lost_is_read_back: StoreMode::LosesAnswers => (200, "", 1);
    claim_that_cannot_be_read_back_is_not_run: StoreMode::LosesAllAnswers => (503, "not-run", 0);
    claim_while_the_store_is_down_is_not_run: StoreMode::Down => (503, "not-run", 0);
}

#[tokio::test]
async fn claim_of_a_request_that_did_not_run_is_released() {
    let target = ScriptedTarget::start(&[TargetStep::Shed, TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    assert_eq!(pay(&host, IDEMPOTENCY_HEADER).await.outcome(), "not-run");
    wait_until("the claim is removed", || host.store.object_count() == 0).await;
    assert_eq!(pay(&host, IDEMPOTENCY_HEADER).await.status, 200);
}

#[tokio::test]
async fn claims_are_separate_per_customer_and_contain_no_idempotency_key() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let host = TestHost::start(&[target.address]).await;
    let boreal = format!("authorization: Bearer {KEY_BOREAL}");
    assert_eq!(pay(&host, IDEMPOTENCY_HEADER).await.status, 200);
    assert_eq!(host.send("POST /pay", &[IDEMPOTENCY_HEADER, &boreal], "sum").await.status, 200);
    assert_eq!((target.received_requests().len(), host.store.object_count()), (2, 2));
    assert!(!host.store.contains_text("sale-17"));
}

#[tokio::test]
async fn tickets_need_a_key_of_a_customer_of_the_service() {
    let host = TestHost::start(&[]).await;
    let line = "POST /.well-known/buckthornturn/ticket?service=";
    assert_eq!(host.send(&format!("{line}other"), &[], "").await.status, 403);
    let forged = "authorization: Bearer bt_ka_forged";
    assert_eq!(host.send(&format!("{line}s"), &[forged], "").await.status, 401);
    let text = request(&format!("{line}s"), &[], "").replace("authorization", "x-other");
    assert_eq!(exchange(host.address, text).await.status, 401);
}
