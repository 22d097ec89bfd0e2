//! Answers to callers for each fault of a target.

use std::time::Duration;
use std::time::Instant;

use standin::platform::TargetMode;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;

/// Time after which hosts have new shares of a lower limit; several periodic checks fit into it.
const SHARE_SETTLE_TIME: Duration = Duration::from_secs(1);

macro_rules! statuses {
    ($($name:ident: $call:expr, $mode:ident on $faulty:literal of $targets:literal => $status:literal, ran $runs:literal;)*) => {
        $(
            #[tokio::test]
            async fn $name() {
                let fleet = EntryFleet::start(1, $targets).await;
                for target in &fleet.targets[..$faulty] {
                    target.set_mode(TargetMode::$mode);
                }
                let answer = fleet.send_request(0, $call).await;
                assert_eq!(answer.status(), $status, "{answer:?}");
                let runs = fleet.run_count();
                assert_eq!(runs, $runs, "runs");
            }
        )*
    };
}

statuses! {
    a_page_is_served: CallerRequest::page(), Healthy on 1 of 1 => 200, ran 1;
    a_payment_is_served: CallerRequest::payment(), Healthy on 1 of 1 => 200, ran 1;
    an_unknown_key_is_refused: CallerRequest::page().with_header("x-credential", "other"), Healthy on 1 of 1 => 401, ran 0;
    a_path_without_route_is_refused: CallerRequest::page().with_path("/nothing/"), Healthy on 1 of 1 => 404, ran 0;
    a_host_without_route_is_refused: CallerRequest::page().with_header("host", "other.example"), Healthy on 1 of 1 => 404, ran 0;
    a_body_over_the_limit_is_refused: CallerRequest { body: vec![0; 100_001].into(), ..CallerRequest::payment() }, Healthy on 1 of 1 => 413, ran 0;
    a_page_shed_by_all_targets_is_not_run: CallerRequest::page(), Sheds on 2 of 2 => 503, ran 0;
    a_shed_payment_goes_to_the_next_target: CallerRequest::payment(), Sheds on 1 of 2 => 200, ran 1;
    a_payment_whose_answer_is_lost_is_not_sent_again: CallerRequest::payment(), LosesAnswers on 2 of 2 => 502, ran 1;
    a_page_whose_answers_are_lost_is_sent_twice: CallerRequest::page(), LosesAnswers on 2 of 2 => 502, ran 2;
    an_answer_to_another_request_is_never_forwarded: CallerRequest::payment(), CrossesAnswers on 1 of 1 => 502, ran 1;
    an_unsigned_success_is_never_forwarded: CallerRequest::payment(), Unsigned on 1 of 1 => 502, ran 1;
    a_replaced_target_runs_nothing: CallerRequest::payment(), Replaced on 1 of 1 => 503, ran 0;
    an_error_answer_of_a_target_is_forwarded: CallerRequest::payment(), Fails on 1 of 1 => 500, ran 1;
    a_payment_that_a_target_answers_with_503_without_a_statement_may_have_run: CallerRequest::payment(), Unavailable on 2 of 2 => 502, ran 1;
    a_payment_that_a_target_answers_with_429_without_a_statement_may_have_run: CallerRequest::payment(), Throttles on 2 of 2 => 502, ran 1;
    a_page_that_a_target_answers_with_503_keeps_its_status: CallerRequest::page(), Unavailable on 2 of 2 => 503, ran 1;
    a_silent_target_ends_with_the_timeout: CallerRequest::page(), Silent on 1 of 1 => 504, ran 0;
}

#[tokio::test]
async fn a_target_gets_the_customer_and_never_the_key() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.send_request(0, CallerRequest::page().with_header("x-tenant-name", "forged")).await;
    let runs = fleet.targets[0].runs();
    let headers = &runs[0].headers;
    assert_eq!(headers["x-tenant-name"], "parish");
    assert_eq!(headers["x-target-instance"], "i-0");
    assert!(!headers.contains_key("x-credential"));
    let remaining_ms: u64 = headers["x-request-deadline"].to_str().unwrap().parse().unwrap();
    assert!((1..=2_000).contains(&remaining_ms), "{remaining_ms}");
}

#[tokio::test]
async fn a_rate_limit_refusal_has_a_retry_after_header() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.store.put("config", "main", crate::entry_fleet::configuration("2", &["key-1"], 1.0));
    fleet
        .wait_until("a rate limit refusal arrives", async || {
            let answer = fleet.send_request(0, CallerRequest::page()).await;
            answer.status() == 429 && answer.headers().contains_key("retry-after")
        })
        .await;
}

#[tokio::test]
async fn a_refusal_without_a_target_does_not_consume_the_limit() {
    let fleet = EntryFleet::start(1, 0).await;
    let limited = crate::entry_fleet::configuration("2", &["key-2"], 1.0);
    fleet.store.put("config", "main", limited);
    let call = || CallerRequest::page().with_header("x-credential", "key-2");
    fleet
        .wait_until("the new key is accepted", async || {
            fleet.send_request(0, call()).await.status() != 401
        })
        .await;
    tokio::time::sleep(SHARE_SETTLE_TIME).await;
    for _ in 0..20 {
        assert_eq!(fleet.send_request(0, call()).await.status(), 503);
    }
}

#[tokio::test]
async fn a_dispatch_that_ends_with_the_timeout_is_counted() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.targets[0].set_mode(TargetMode::Silent);
    assert_eq!(fleet.send_request(0, CallerRequest::payment()).await.status(), 504);
    let metrics = fleet.hosts[0].state().metrics().encode_text(fleet.hosts[0].state()).unwrap();
    let sent = metrics.lines().find(|line| line.starts_with("buckthornturn_sent_total"));
    assert_eq!(sent.and_then(|line| line.split(' ').next_back()), Some("1"), "{metrics}");
}

#[tokio::test]
async fn a_caller_disconnect_cancels_the_dispatch() {
    let fleet = EntryFleet::start(1, 1).await;
    fleet.targets[0].set_mode(TargetMode::Silent);
    let call = fleet.send_request(0, CallerRequest::page());
    assert!(tokio::time::timeout(Duration::from_millis(200), call).await.is_err());
    fleet.targets[0].set_mode(TargetMode::Healthy);
    let started_at = Instant::now();
    assert_eq!(fleet.send_request(0, CallerRequest::page()).await.status(), 200);
    assert!(started_at.elapsed() < Duration::from_secs(1));
}
