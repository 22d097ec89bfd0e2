//! Requests that must run at most once: tickets, claims, forwarding and hand-over.

#![allow(clippy::unwrap_used)]

mod support;

use std::sync::Arc;
use std::time::Duration;

use buckthornturn::interface::MemberHealth;
use buckthornturn::settings::CallerBounds;
use support::BenchOptions;
use support::CallerBench;
use support::KEY_BOREAL;
use support::RawAnswer;
use support::ScriptedTarget;
use support::StoreMode;
use support::TargetStep;
use support::eventually;
use support::exchange;
use support::request;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const SLOW: TargetStep = TargetStep::EchoSlowly(Duration::from_millis(200));
const KEYED: &str = "idempotency-key: sale-17";

async fn pay(bench: &CallerBench, header: &str) -> RawAnswer {
    bench.send("POST /pay/17", &[header], "sum").await
}

/// Each case: the target's steps, the header that both uses show (`ticket` for a ticket), and status, outcome and
/// requests seen after each use.
macro_rules! used_twice {
    ($($name:ident: $step:expr, $header:expr => $first:expr, $second:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = ScriptedTarget::start(&[$step]).await;
            let bench = CallerBench::start(&[target.address]).await;
            let header = match $header {
                "ticket" => bench.ticket().await,
                header => header.to_owned(),
            };
            let answer = pay(&bench, &header).await;
            assert_eq!((answer.status, answer.outcome(), target.seen().len()), $first);
            let recorded = || !header.starts_with("idem") || bench.store.holds("\"outcome\":{");
            eventually("the outcome is recorded", recorded).await;
            let answer = pay(&bench, &header).await;
            assert_eq!((answer.status, answer.outcome(), target.seen().len()), $second);
        }
    )*};
}

used_twice! {
    ticket_is_replayed: TargetStep::EchoPath, "ticket" => (200, "", 1), (200, "", 1);
    ticket_of_a_lost_answer_stays_unknown: TargetStep::Close, "ticket" => (502, "unknown", 1), (409, "unknown", 1);
    ticket_of_a_shed_request_may_be_used_again: TargetStep::Shed, "ticket" => (503, "not-run", 1), (503, "not-run", 2);
    claim_is_replayed: TargetStep::EchoPath, KEYED => (200, "", 1), (200, "", 1);
    claim_of_a_lost_answer_stays_unknown: TargetStep::Close, KEYED => (502, "unknown", 1), (409, "unknown", 1);
}

#[tokio::test]
async fn replay_is_the_same_answer() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let ticket = bench.ticket().await;
    assert_eq!(pay(&bench, &ticket).await.body(), "/pay/17");
    let answer = pay(&bench, &ticket).await;
    assert_eq!((answer.body(), answer.header("buckthornturn-replayed")), ("/pay/17", Some("true")));
}

#[tokio::test]
async fn large_answer_is_remembered_by_its_digest() {
    let text = format!("HTTP/1.1 200 OK\r\ncontent-length: 70000\r\n\r\n{}", "x".repeat(70_000));
    let target = ScriptedTarget::start(&[TargetStep::Send(text.leak())]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let ticket = bench.ticket().await;
    assert_eq!(pay(&bench, &ticket).await.body().len(), 70_000);
    let answer = pay(&bench, &ticket).await;
    assert_eq!((answer.status, answer.outcome(), target.seen().len()), (409, "unknown", 1));
    assert!(answer.body().contains("\"answer_status\":200"), "{}", answer.body());
}

#[tokio::test]
async fn same_ticket_twice_at_once_runs_once_and_both_hear_the_outcome() {
    let target = ScriptedTarget::start(&[SLOW]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let ticket = bench.ticket().await;
    let (first, second) = tokio::join!(pay(&bench, &ticket), pay(&bench, &ticket));
    assert_eq!((first.body(), second.body()), ("/pay/17", "/pay/17"));
    assert_eq!(target.seen().len(), 1);
}

#[tokio::test]
async fn same_claim_twice_at_once_runs_once() {
    let target = ScriptedTarget::start(&[SLOW]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let (first, second) = tokio::join!(pay(&bench, KEYED), pay(&bench, KEYED));
    let mut ends = [(first.status, first.outcome()), (second.status, second.outcome())];
    ends.sort_unstable();
    assert_eq!(ends, [(200, ""), (409, "unknown")]);
    assert_eq!(target.seen().len(), 1);
}

#[tokio::test]
async fn outcome_is_known_after_the_caller_has_left() {
    let target = ScriptedTarget::start(&[SLOW]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let ticket = bench.ticket().await;
    let mut caller = TcpStream::connect(bench.address).await.unwrap();
    let text = request("POST /pay/17", &[&ticket], "sum");
    caller.write_all(text.as_bytes()).await.unwrap();
    eventually("the target works", || target.seen().len() == 1).await;
    drop(caller);
    let answer = pay(&bench, &ticket).await;
    assert_eq!((answer.status, answer.body(), target.seen().len()), (200, "/pay/17", 1));
}

#[tokio::test]
async fn tickets_are_refused_to_others_and_after_their_life() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bounds = CallerBounds { ticket_life_seconds: 1, ..CallerBounds::default() };
    let options = BenchOptions { bounds, ..BenchOptions::default() };
    let bench = CallerBench::start_with(&[target.address], options).await;
    let ticket = bench.ticket().await;
    let boreal = format!("authorization: Bearer {KEY_BOREAL}");
    let answer = bench.send("POST /pay", &[&ticket, &boreal], "sum").await;
    assert_eq!((answer.status, answer.outcome()), (403, "not-run"));
    let answer = pay(&bench, &format!("{ticket}x")).await;
    assert_eq!((answer.status, answer.outcome()), (403, "not-run"));
    let answer = pay(&bench, "buckthornturn-ticket: nonsense").await;
    assert_eq!((answer.status, answer.outcome()), (400, "not-run"));
    tokio::time::sleep(Duration::from_millis(1_100)).await;
    let answer = pay(&bench, &ticket).await;
    assert_eq!((answer.status, answer.outcome()), (409, "unknown"));
    assert!(target.seen().is_empty());
}

#[tokio::test]
async fn full_table_of_outcomes_is_a_true_refusal() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bounds = CallerBounds { max_outcomes: 4, ..CallerBounds::default() };
    let options = BenchOptions { bounds, ..BenchOptions::default() };
    let bench = CallerBench::start_with(&[target.address], options).await;
    assert_eq!(pay(&bench, &bench.ticket().await).await.status, 200);
    let answer = pay(&bench, &bench.ticket().await).await;
    assert_eq!((answer.status, answer.outcome()), (503, "not-run"));
    assert_eq!(target.seen().len(), 1);
}

struct HostPair {
    target: ScriptedTarget,
    issuer: CallerBench,
    other: CallerBench,
}

impl HostPair {
    async fn start(health: MemberHealth, incarnation: u64) -> Self {
        let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
        let issuer = CallerBench::start(&[target.address]).await;
        let options = BenchOptions { host: "host-2", ..BenchOptions::default() };
        let other = CallerBench::start_with(&[target.address], options).await;
        other.peers.put("host-1", incarnation, Some(issuer.address), health);
        Self { target, issuer, other }
    }
}

#[tokio::test]
async fn ticket_is_passed_on_to_its_issuer() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.ticket().await;
    let (first, second) = tokio::join!(pay(&other, &ticket), pay(&issuer, &ticket));
    assert_eq!((first.body(), second.body()), ("/pay/17", "/pay/17"));
    assert_eq!(target.seen().len(), 1);
    assert!(!target.seen()[0].contains("bt_"), "{:?}", target.seen());
}

macro_rules! issuer_lost {
    ($($name:ident: $health:expr, $incarnation:expr, $known:expr => $status:expr, $reason:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let HostPair { target, issuer, other } = HostPair::start($health, $incarnation).await;
            let ticket = issuer.ticket().await;
            let address = issuer.address;
            let _ = issuer.leave(Duration::ZERO).await;
            eventually("it is closed", || std::net::TcpStream::connect(address).is_err()).await;
            if !$known {
                other.peers.put("host-1", 0, None, MemberHealth::Suspect);
            }
            let answer = pay(&other, &ticket).await;
            let end = (answer.status, answer.outcome(), &*answer.reason());
            assert_eq!(end, ($status, "unknown", $reason));
            assert!(target.seen().is_empty());
        }
    )*};
}

issuer_lost! {
    later_process_of_the_issuer_runs_nothing: MemberHealth::Live, 2, true => 502, "issuer-gone";
    gone_issuer_leaves_the_outcome_unknown: MemberHealth::Gone, 1, true => 502, "issuer-gone";
    issuer_that_refuses_connections_may_come_back: MemberHealth::Live, 1, true => 503, "issuer-unreachable";
    issuer_never_heard_may_be_there: MemberHealth::Live, 1, false => 503, "issuer-unreachable";
}

#[tokio::test]
async fn host_that_cannot_ask_the_issuer_does_not_say_not_run() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.ticket().await;
    assert_eq!(pay(&issuer, &ticket).await.status, 200);
    other.change(|state| state.services[0].routes.clear());
    let answer = pay(&other, &ticket).await;
    assert_eq!((answer.status, answer.outcome(), target.seen().len()), (403, "unknown", 1));
}

#[tokio::test]
async fn request_passed_on_once_is_not_passed_on_again() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.ticket().await;
    other.peers.put("host-1", 1, Some(other.address), MemberHealth::Live);
    let answer = pay(&other, &ticket).await;
    assert_eq!((answer.status, &*answer.reason()), (502, "ticket-misrouted"));
    assert!(target.seen().is_empty());
}

#[tokio::test]
async fn outcomes_of_a_host_that_leaves_are_kept_by_a_peer() {
    let HostPair { target, issuer, other } = HostPair::start(MemberHealth::Live, 1).await;
    let ticket = issuer.ticket().await;
    assert_eq!(pay(&issuer, &ticket).await.status, 200);
    issuer.peers.put("host-2", 1, Some(other.address), MemberHealth::Live);
    issuer.peers.connect("host-2", Arc::clone(other.service.tickets()) as _);
    assert!(issuer.leave(Duration::from_secs(3)).await);
    other.peers.put("host-1", 1, None, MemberHealth::Gone);
    let answer = pay(&other, &ticket).await;
    assert_eq!((answer.status, answer.body(), target.seen().len()), (200, "/pay/17", 1));
    let options = BenchOptions { host: "host-3", ..BenchOptions::default() };
    let third = CallerBench::start_with(&[target.address], options).await;
    third.peers.put("host-1", 1, None, MemberHealth::Gone);
    third.peers.put("host-2", 1, Some(other.address), MemberHealth::Live);
    let answer = pay(&third, &ticket).await;
    assert_eq!((answer.status, answer.body(), target.seen().len()), (200, "/pay/17", 1));
}

/// Each case: how the store behaves at the first use, and status, outcome and requests seen then.
macro_rules! claimed {
    ($($name:ident: $mode:expr => $first:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
            let bench = CallerBench::start(&[target.address]).await;
            bench.store.set_mode($mode);
            let answer = pay(&bench, KEYED).await;
            assert_eq!((answer.status, answer.outcome(), target.seen().len()), $first);
        }
    )*};
}

claimed! {
    claim_whose_answer_is_lost_is_read_back: StoreMode::LosesAnswers => (200, "", 1);
    claim_that_cannot_be_read_back_is_not_run: StoreMode::LosesAll => (503, "not-run", 0);
    claim_while_the_store_is_out_is_not_run: StoreMode::Down => (503, "not-run", 0);
}

#[tokio::test]
async fn claim_of_a_request_that_did_not_run_is_given_back() {
    let target = ScriptedTarget::start(&[TargetStep::Shed, TargetStep::EchoPath]).await;
    let bench = CallerBench::start(&[target.address]).await;
    assert_eq!(pay(&bench, KEYED).await.outcome(), "not-run");
    eventually("the claim is removed", || bench.store.count() == 0).await;
    assert_eq!(pay(&bench, KEYED).await.status, 200);
}

#[tokio::test]
async fn claims_of_customers_are_apart_and_hold_no_key() {
    let target = ScriptedTarget::start(&[TargetStep::EchoPath]).await;
    let bench = CallerBench::start(&[target.address]).await;
    let boreal = format!("authorization: Bearer {KEY_BOREAL}");
    assert_eq!(pay(&bench, KEYED).await.status, 200);
    assert_eq!(bench.send("POST /pay", &[KEYED, &boreal], "sum").await.status, 200);
    assert_eq!((target.seen().len(), bench.store.count()), (2, 2));
    assert!(!bench.store.holds("sale-17"));
}

#[tokio::test]
async fn tickets_need_a_key_of_a_customer_of_the_service() {
    let bench = CallerBench::start(&[]).await;
    let line = "POST /.well-known/buckthornturn/ticket?service=";
    assert_eq!(bench.send(&format!("{line}other"), &[], "").await.status, 403);
    let forged = "authorization: Bearer bt_ka_forged";
    assert_eq!(bench.send(&format!("{line}s"), &[forged], "").await.status, 401);
    let text = request(&format!("{line}s"), &[], "").replace("authorization", "x-other");
    assert_eq!(exchange(bench.address, text).await.status, 401);
}
