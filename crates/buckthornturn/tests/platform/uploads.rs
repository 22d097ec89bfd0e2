//! Uploads whose targets answer before they have read them, or whose callers break off.

use std::sync::Arc;
use std::time::Duration;

use futures::future::join;
use futures::future::join_all;
use serde_json::json;
use standin::network::LinkCut;
use standin::platform::AnswerKind;
use standin::platform::AnswerPoint;
use standin::platform::AnswerStep;
use standin::platform::BodyLedger;
use standin::platform::EarlyTarget;
use standin::platform::SentRequest;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;
use crate::entry_fleet::TARGET_LINKS;
use crate::entry_fleet::configuration;
use crate::upload_caller::UploadCall;
use crate::upload_caller::UploadFraming;

/// Targets of each fleet; more than the steps of any case.
const TARGETS: usize = 4;
/// Rounds of a case, and the uploads and pages of each round.
const ROUNDS: usize = 4;
const UPLOADS: usize = 3;
const PAGES: usize = 20;
/// Pause between two pages; connections are reused after 10 ms of silence.
const PAGE_PAUSE: Duration = Duration::from_millis(12);
/// Time within which each body is complete or its connection has ended.
const SETTLE_TIME: Duration = Duration::from_secs(6);

pub const REFUSES: AnswerStep = AnswerStep::new(AnswerPoint::Head, AnswerKind::Refusal);
const REFUSES_LATE: AnswerStep = AnswerStep::new(AnswerPoint::Bytes(30_000), AnswerKind::Refusal);
const REFUSES_AND_WAITS: AnswerStep = REFUSES.with_pause(Duration::from_millis(60));
pub const SUCCEEDS: AnswerStep = AnswerStep::new(AnswerPoint::Head, AnswerKind::Success);
pub const FAILS: AnswerStep = AnswerStep::new(AnswerPoint::Head, AnswerKind::Failure);
const REFUSES_AND_CLOSES: AnswerStep = REFUSES.then_closing();
const REFUSES_LATE_AND_CLOSES: AnswerStep = REFUSES_LATE.then_closing();
const SUCCEEDS_AND_CLOSES: AnswerStep = SUCCEEDS.then_closing();
const FAILS_AND_CLOSES: AnswerStep = FAILS.then_closing();
const REFUSES_TWICE: AnswerStep = REFUSES.sent_twice();
const SUCCEEDS_TWICE: AnswerStep = SUCCEEDS.sent_twice();
const RUNS_TWICE: AnswerStep = RUNS.sent_twice();
const CLOSES: AnswerStep = AnswerStep::new(AnswerPoint::End, AnswerKind::Closed);
const RUNS: AnswerStep = AnswerStep::RUN;

macro_rules! uploads {
    ($($(#[$attribute:meta])* $name:ident: $bytes:literal in $framing:ident, $steps:expr, dialed after $delay:literal ms;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            check_uploads(call, &$steps, Duration::from_millis($delay)).await;
        })*
    };
}

uploads! {
    an_empty_body_is_sent_again: 0 in Length, [REFUSES, RUNS], dialed after 30 ms;
    an_empty_chunked_body_is_sent_again: 0 in Chunks, [REFUSES, RUNS], dialed after 30 ms;
    a_body_of_one_byte_is_sent_again: 1 in Length, [REFUSES, REFUSES, RUNS], dialed after 30 ms;
    a_chunked_body_of_one_byte_is_sent_again: 1 in Chunks, [REFUSES, REFUSES, RUNS], dialed after 30 ms;
    a_body_below_the_buffer_is_sent_again: 60_000 in Length, [REFUSES, RUNS], dialed after 60 ms;
    a_chunked_body_below_the_buffer_is_sent_again: 60_000 in Chunks, [REFUSES, REFUSES, RUNS], dialed after 60 ms;
    a_body_as_large_as_the_buffer_is_sent_again: 65_536 in Length, [REFUSES, RUNS], dialed after 60 ms;
    a_body_above_the_buffer_keeps_its_start: 65_537 in Length, [REFUSES, RUNS], dialed after 60 ms;
    a_chunked_body_above_the_buffer_keeps_its_start: 65_537 in Chunks, [REFUSES, RUNS], dialed after 60 ms;
    a_body_that_outgrows_the_buffer_before_a_late_dial_keeps_its_start: 200_000 in Length, [REFUSES, RUNS], dialed after 30 ms;
    a_chunked_body_that_outgrows_the_buffer_before_a_late_dial_keeps_its_start: 200_000 in Chunks, [REFUSES, RUNS], dialed after 30 ms;
    a_body_that_ends_before_a_late_dial_is_not_sent_without_bytes: 90_000 in Length, [REFUSES, RUNS], dialed after 120 ms;
    a_chunked_body_that_ends_before_a_late_dial_is_not_sent_without_bytes: 90_000 in Chunks, [REFUSES, RUNS], dialed after 120 ms;
    a_large_body_keeps_its_start: 360_000 in Length, [REFUSES, RUNS], dialed after 60 ms;
    a_large_chunked_body_keeps_its_start: 360_000 in Chunks, [REFUSES, RUNS], dialed after 60 ms;
    a_large_body_is_sent_again_at_once: 360_000 in Length, [REFUSES, RUNS], dialed after 0 ms;
    a_large_chunked_body_is_sent_again_at_once: 360_000 in Chunks, [REFUSES, RUNS], dialed after 0 ms;
    a_body_refused_in_its_middle_keeps_its_start: 200_000 in Length, [REFUSES_LATE, RUNS], dialed after 30 ms;
    a_chunked_body_refused_in_its_middle_keeps_its_start: 200_000 in Chunks, [REFUSES_LATE, RUNS], dialed after 30 ms;
    a_body_whose_first_target_reads_on_late_keeps_its_start: 200_000 in Length, [REFUSES_AND_WAITS, RUNS], dialed after 30 ms;
    a_page_is_not_read_as_the_rest_of_a_body_refused_twice: 90_000 in Length, [REFUSES, REFUSES], dialed after 120 ms;
    a_page_is_not_read_as_the_rest_of_a_body_refused_twice_while_sent: 200_000 in Length, [REFUSES, REFUSES], dialed after 30 ms;
    a_page_is_not_read_as_the_rest_of_a_chunked_body_refused_twice: 90_000 in Chunks, [REFUSES, REFUSES], dialed after 120 ms;
    a_page_is_not_read_as_the_rest_of_a_body_that_succeeds_early: 360_000 in Length, [SUCCEEDS], dialed after 0 ms;
    a_page_is_not_read_as_the_rest_of_a_chunked_body_that_succeeds_early: 360_000 in Chunks, [SUCCEEDS], dialed after 0 ms;
    a_page_is_not_read_as_the_rest_of_a_body_that_succeeds_early_at_the_second_target: 90_000 in Length, [REFUSES, SUCCEEDS], dialed after 120 ms;
    a_page_is_not_read_as_the_rest_of_a_body_that_fails_early: 360_000 in Length, [FAILS], dialed after 0 ms;
    a_page_is_not_read_as_the_rest_of_a_body_that_fails_early_at_the_second_target: 90_000 in Length, [REFUSES, FAILS], dialed after 120 ms;
    a_body_whose_target_refuses_and_closes_keeps_its_start: 200_000 in Length, [REFUSES_AND_CLOSES, RUNS], dialed after 30 ms;
    a_chunked_body_whose_target_refuses_and_closes_keeps_its_start: 200_000 in Chunks, [REFUSES_AND_CLOSES, RUNS], dialed after 30 ms;
    a_chunked_body_whose_target_refuses_in_its_middle_and_closes_keeps_its_start:
        200_000 in Chunks, [REFUSES_LATE_AND_CLOSES, REFUSES_AND_CLOSES, RUNS], dialed after 30 ms;
    a_body_whose_target_succeeds_and_closes_leaves_pages_alone: 360_000 in Length, [SUCCEEDS_AND_CLOSES], dialed after 0 ms;
    a_chunked_body_whose_second_target_succeeds_and_closes_leaves_pages_alone:
        90_000 in Chunks, [REFUSES_AND_CLOSES, SUCCEEDS_AND_CLOSES], dialed after 120 ms;
    a_body_whose_target_fails_and_closes_leaves_pages_alone: 360_000 in Length, [FAILS_AND_CLOSES], dialed after 0 ms;
    a_body_that_is_refused_with_two_answers_keeps_its_start: 200_000 in Length, [REFUSES_TWICE, RUNS], dialed after 30 ms;
    a_chunked_body_that_is_refused_with_two_answers_keeps_its_start: 200_000 in Chunks, [REFUSES_TWICE, RUNS], dialed after 30 ms;
    an_empty_body_that_is_refused_with_two_answers_leaves_pages_alone: 0 in Length, [REFUSES_TWICE, RUNS], dialed after 0 ms;
    a_body_that_succeeds_early_with_two_answers_leaves_pages_alone: 360_000 in Length, [SUCCEEDS_TWICE], dialed after 0 ms;
    a_chunked_body_that_succeeds_early_with_two_answers_leaves_pages_alone: 90_000 in Chunks, [REFUSES, SUCCEEDS_TWICE], dialed after 30 ms;
    a_body_that_runs_with_two_answers_leaves_pages_alone: 20_000 in Length, [RUNS_TWICE], dialed after 0 ms;
}

macro_rules! huge_uploads {
    ($($(#[$attribute:meta])* $name:ident: $bytes:literal in $framing:ident, $steps:expr, dialed after $delay:literal ms;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            let call = UploadCall { part_bytes: 60_000, ..call };
            check_uploads(call, &$steps, Duration::from_millis($delay)).await;
        })*
    };
}

huge_uploads! {
    a_body_above_a_mebibyte_keeps_its_start: 2_000_000 in Length, [REFUSES, RUNS], dialed after 100 ms;
    a_chunked_body_above_a_mebibyte_keeps_its_start: 2_000_000 in Chunks, [REFUSES, RUNS], dialed after 100 ms;
    a_body_above_a_mebibyte_that_ends_before_a_late_dial_is_not_sent_without_bytes: 1_200_000 in Length, [REFUSES, RUNS], dialed after 200 ms;
    a_chunked_body_above_a_mebibyte_that_ends_before_a_late_dial_is_not_sent_without_bytes:
        1_200_000 in Chunks, [REFUSES, RUNS], dialed after 200 ms;
    a_page_is_not_read_as_the_rest_of_a_body_above_a_mebibyte: 1_200_000 in Length, [REFUSES, REFUSES], dialed after 200 ms;
    a_page_is_not_read_as_the_rest_of_an_early_success_above_a_mebibyte: 4_000_000 in Length, [REFUSES, SUCCEEDS], dialed after 100 ms;
}

macro_rules! slow_uploads {
    ($($(#[$attribute:meta])* $name:ident: $bytes:literal in $framing:ident, $steps:expr;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            let call = UploadCall { part_bytes: 2_000, pause: Duration::from_millis(10), ..call };
            check_uploads(call, &$steps, Duration::from_millis(30)).await;
        })*
    };
}

slow_uploads! {
    a_slow_body_is_sent_again: 90_000 in Length, [REFUSES, REFUSES, RUNS];
    a_slow_chunked_body_is_sent_again: 90_000 in Chunks, [REFUSES, REFUSES, RUNS];
    a_slow_body_refused_at_its_middle_is_sent_again: 90_000 in Length, [REFUSES_LATE, REFUSES_LATE, RUNS];
    a_page_is_not_read_as_the_rest_of_a_slow_body: 90_000 in Length, [SUCCEEDS];
}

macro_rules! cut_uploads {
    ($($(#[$attribute:meta])* $name:ident: $cut:literal of $bytes:literal in $framing:ident, $steps:expr;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            let call = UploadCall { cut_after: Some($cut), ..call };
            check_uploads(call, &$steps, Duration::from_millis(30)).await;
        })*
    };
}

cut_uploads! {
    a_body_that_is_broken_off_is_not_complete: 40_000 of 200_000 in Length, [RUNS];
    a_chunked_body_that_is_broken_off_is_not_complete: 40_000 of 200_000 in Chunks, [RUNS];
    a_large_chunked_body_that_is_broken_off_is_not_complete: 150_000 of 200_000 in Chunks, [RUNS];
    a_refused_body_that_is_broken_off_is_not_complete: 40_000 of 200_000 in Length, [REFUSES, RUNS];
    a_refused_chunked_body_that_is_broken_off_is_not_complete: 40_000 of 200_000 in Chunks, [REFUSES, RUNS];
    a_refused_chunked_body_that_is_broken_off_before_a_late_dial_is_not_complete: 10_000 of 200_000 in Chunks, [REFUSES, RUNS];
    a_large_refused_chunked_body_that_is_broken_off_is_not_complete: 150_000 of 200_000 in Chunks, [REFUSES, RUNS];
    a_chunked_body_that_is_broken_off_without_a_byte_is_not_complete: 0 of 200_000 in Chunks, [REFUSES, RUNS];
}

/// A fleet whose targets answer early, and what they got.
pub struct UploadFleet {
    pub fleet: EntryFleet,
    pub ledger: BodyLedger,
    _targets: Vec<EarlyTarget>,
}

impl UploadFleet {
    pub async fn start(hosts: usize, steps: &[AnswerStep]) -> Self {
        Self::with_targets(EntryFleet::start(hosts, 0).await, steps).await
    }

    /// Adds targets to a fleet of ready hosts, and waits until all hosts serve uploads.
    pub async fn with_targets(fleet: EntryFleet, steps: &[AnswerStep]) -> Self {
        let ledger = BodyLedger::default();
        let mut targets = Vec::new();
        for number in 0..TARGETS {
            let name = format!("e-{number}");
            let target = EarlyTarget::start(&name, steps, ledger.clone(), Arc::clone(&fleet.links))
                .await
                .unwrap();
            fleet.links.add_address(target.address(), TARGET_LINKS);
            fleet.store.put("servers", &name, target.entry("pages", "north-a"));
            targets.push(target);
        }
        fleet.store.put("config", "main", upload_configuration());
        let fleet = Self { fleet, ledger, _targets: targets };
        for host in 0..fleet.fleet.hosts.len() {
            let serves = async || {
                let answer = UploadCall::new(0, UploadFraming::Length);
                let answer = answer.send(fleet.fleet.ports[host].callers, &fleet.ledger).await;
                answer.is_some_and(|status| status != 404) && fleet.send_page(host).await.is_some()
            };
            fleet.fleet.wait_until("uploads are served", serves).await;
        }
        fleet
    }

    /// Sends rounds of uploads to a host, with pages beside and after them. Returns the statuses of the uploads.
    pub async fn send_rounds(&self, host: usize, call: UploadCall) -> Vec<Option<u16>> {
        let address = self.fleet.ports[host].callers;
        let mut statuses = Vec::new();
        for _ in 0..ROUNDS {
            self.fleet.links.set_dial_delay(Duration::ZERO);
            let uploads = (0..UPLOADS).map(|_| call.send(address, &self.ledger));
            let (sent, beside) = join(join_all(uploads), self.send_pages(host)).await;
            let after = self.send_pages(host).await;
            statuses.extend(sent);
            let lost = beside.iter().chain(&after).filter(|answer| answer.is_none()).count();
            assert_eq!(lost, 0, "pages without their answer\n{}", self.describe_mismatches());
        }
        statuses
    }

    /// Sends pages one after the other, and returns their answers.
    async fn send_pages(&self, host: usize) -> Vec<Option<()>> {
        let mut answers = Vec::new();
        for _ in 0..PAGES {
            answers.push(self.send_page(host).await);
            tokio::time::sleep(PAGE_PAUSE).await;
        }
        answers
    }

    /// Sends a page; `None` unless the answer is that of a target to this very attempt.
    pub async fn send_page(&self, host: usize) -> Option<()> {
        let page = CallerRequest::page();
        let attempt = page.headers.iter().find(|header| header.0 == "x-attempt-id")?.1.clone();
        let page = page.with_header("x-affinity-key", &attempt);
        let sent = SentRequest {
            method: "GET".into(),
            path: page.path.into(),
            body: Default::default(),
            is_cut: false,
        };
        self.ledger.record_sent(&attempt, sent);
        let answer = self.fleet.try_send_request(host, page).await?;
        let expected = format!("answer to {attempt}");
        (answer.status() == 200 && answer.body() == expected.as_bytes()).then_some(())
    }

    /// Waits until each body is complete or its connection has ended, and checks all that targets got.
    pub async fn check(&self) {
        let settled = async {
            while !self.ledger.is_settled() {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let _ = tokio::time::timeout(SETTLE_TIME, settled).await;
        let mismatches = self.describe_mismatches();
        let arrivals = self.ledger.arrivals().len();
        assert!(mismatches.is_empty(), "of {arrivals} arrivals:\n{mismatches}");
    }

    /// One line for each difference between what targets got and what callers sent.
    fn describe_mismatches(&self) -> String {
        let mismatches = self.ledger.mismatches();
        mismatches.iter().map(|mismatch| format!("{mismatch:?}\n")).collect()
    }
}

/// Uploads whose targets take the steps one after the other; new connections are late after a refusal.
pub async fn check_uploads(call: UploadCall, steps: &[AnswerStep], dial_delay: Duration) {
    let steps: Vec<_> = steps
        .iter()
        .map(|step| match step.kind {
            AnswerKind::Refusal => step.with_dial_delay(dial_delay),
            _ => *step,
        })
        .collect();
    let fleet = UploadFleet::start(1, &steps).await;
    let statuses = fleet.send_rounds(0, call).await;
    fleet.check().await;
    assert!(call.cut_after.is_some() || statuses.iter().all(Option::is_some), "{statuses:?}");
}

macro_rules! peers {
    ($($(#[$attribute:meta])* $name:ident: $call:expr, $steps:expr, at $lost:literal of $hosts:literal hosts without links, $known:ident;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            check_peers($call, &$steps, ($hosts, $lost), CutTime::$known).await;
        })*
    };
}

/// When the links of hosts to targets are cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CutTime {
    /// Long enough before the uploads that the hosts know it.
    Before,
    /// Just before them.
    Then,
}

peers! {
    a_peer_gets_the_body_of_a_host_without_links: UploadCall::new(200_000, UploadFraming::Length), [RUNS],
        at 1 of 2 hosts without links, Before;
    a_peer_gets_the_chunked_body_of_a_host_without_links: UploadCall::new(200_000, UploadFraming::Chunks), [RUNS],
        at 1 of 2 hosts without links, Before;
    a_peer_keeps_the_start_of_a_body_that_its_target_refuses: UploadCall::new(200_000, UploadFraming::Length), [REFUSES, RUNS],
        at 1 of 2 hosts without links, Before;
    a_peer_keeps_the_start_of_a_chunked_body_that_its_target_refuses:
        UploadCall::new(200_000, UploadFraming::Chunks), [REFUSES, RUNS], at 1 of 2 hosts without links, Before;
    a_host_that_just_lost_its_links_keeps_the_start_of_a_body: UploadCall::new(200_000, UploadFraming::Length), [RUNS],
        at 1 of 3 hosts without links, Then;
    a_host_keeps_the_start_of_a_body_that_a_peer_without_links_refuses:
        UploadCall::new(200_000, UploadFraming::Length), [RUNS], at 2 of 3 hosts without links, Then;
    a_host_keeps_the_start_of_a_chunked_body_that_a_peer_without_links_refuses:
        UploadCall::new(200_000, UploadFraming::Chunks), [RUNS], at 2 of 3 hosts without links, Then;
    a_host_keeps_the_start_of_a_slow_body_that_a_peer_without_links_refuses:
        SLOW_CALL, [RUNS], at 2 of 3 hosts without links, Then;
    a_page_is_not_read_as_the_rest_of_a_body_that_a_peer_refuses: UploadCall::new(90_000, UploadFraming::Length), [REFUSES, REFUSES],
        at 1 of 2 hosts without links, Before;
}

/// A body that outgrows the buffer about when a peer that drained its part of it for 500 ms has refused it.
const SLOW_CALL: UploadCall = UploadCall {
    part_bytes: 1_000,
    pause: Duration::from_millis(10),
    ..UploadCall::new(100_000, UploadFraming::Length)
};

/// Uploads to a host without links to targets, which forwards them to peers.
async fn check_peers(
    call: UploadCall,
    steps: &[AnswerStep],
    (hosts, lost): (usize, usize),
    time: CutTime,
) {
    let fleet = UploadFleet::start(hosts, steps).await;
    (0..lost).for_each(|host| fleet.fleet.cut_host(host, LinkCut::Refusing));
    if time == CutTime::Before {
        for host in (0..lost).cycle().take(lost * 2) {
            fleet.send_pages(host).await;
        }
        fleet.send_rounds(0, call).await;
    } else {
        let uploads = (0..UPLOADS * ROUNDS).map(async |number| {
            tokio::time::sleep(Duration::from_millis(25) * number as u32).await;
            call.send(fleet.fleet.ports[0].callers, &fleet.ledger).await
        });
        let delay = async {
            tokio::time::sleep(Duration::from_millis(200)).await;
            fleet.fleet.links.set_dial_delay(Duration::from_millis(200));
        };
        join(join_all(uploads), join(fleet.send_pages(0), delay)).await;
    }
    fleet.check().await;
}

macro_rules! suspects {
    ($($(#[$attribute:meta])* $name:ident: $cut:literal of $bytes:literal in $framing:ident;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            check_suspect(call, $cut).await;
        })*
    };
}

suspects! {
    a_suspected_chunked_body_that_is_broken_off_is_not_complete: 10_000 of 90_000 in Chunks;
    a_suspected_chunked_body_that_is_broken_off_without_a_byte_is_not_complete: 0 of 90_000 in Chunks;
    a_suspected_chunked_body_that_is_broken_off_after_its_digest_is_not_complete: 30_000 of 90_000 in Chunks;
    a_suspected_body_that_is_broken_off_is_not_complete: 10_000 of 90_000 in Length;
}

/// Callers that break off while the digest of their bodies is read: the first request with this head ended at targets that
/// closed their connections.
async fn check_suspect(call: UploadCall, cut: usize) {
    let fleet = UploadFleet::start(1, &[CLOSES]).await;
    let host = fleet.fleet.ports[0].callers;
    let call = UploadCall { path: "/uploads/suspect", ..call };
    call.send(host, &fleet.ledger).await;
    for _ in 0..ROUNDS * UPLOADS {
        UploadCall { cut_after: Some(cut), ..call }.send(host, &fleet.ledger).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    fleet.check().await;
}

/// A configuration with a route of uploads, which may be larger than those of other tests and are sent to three targets.
fn upload_configuration() -> serde_json::Value {
    let mut document = configuration("2", &["key-1"], 1_000.0);
    let resources = document["resources"].as_array_mut().unwrap();
    resources.retain(|resource| resource["resource_kind"] != "limits");
    resources.push(json!({ "resource_kind": "routes", "metadata": { "name": "uploads" }, "spec": {
        "hostname": "pages.example", "path_prefix": "/uploads/", "route_type": "upload", "timeout_ms": 3_000,
        "target_latency_ms": 2_000, "priority": 1, "backend_service": "pages", "max_attempts": 3,
        "public": false, "session_affinity": true, "allowed_regions": [],
    }}));
    resources.push(json!({
        "resource_kind": "limits", "metadata": {}, "spec": { "max_body_bytes": 8_000_000 },
    }));
    document
}
