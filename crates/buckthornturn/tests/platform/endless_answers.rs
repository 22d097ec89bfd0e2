//! Targets that send bytes without end, in the head or in the body of an answer.

use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use standin::platform::EndlessPart;
use standin::platform::EndlessTarget;

use crate::entry_fleet::CallerRequest;
use crate::entry_fleet::EntryFleet;

/// Time for which callers wait, and the margin after it until nothing of a request is left.
const CALLER_TIME: Duration = Duration::from_secs(2);
const END_MARGIN: Duration = Duration::from_millis(500);
/// Longest time of a request whose first target can be told to send no answer, and that a second one serves.
const SERVED_TIME: Duration = Duration::from_millis(500);
/// Callers that send at the same time.
const CALLERS: usize = 20;

macro_rules! endless {
    ($($(#[$attribute:meta])* $name:ident: $part:ident, $check:ident;)*) => {
        $($(#[$attribute])* #[tokio::test] async fn $name() { $check(EndlessPart::$part).await; })*
    };
}

endless! {
    /// A refusal whose body did not end once held its request until the deadline, though another target was free.
    a_refusal_with_an_endless_body_goes_to_the_next_target: RefusalBody, check_served_elsewhere;
    endless_interim_answers_go_to_the_next_target: InterimAnswers, check_served_elsewhere;
    endless_header_lines_go_to_the_next_target: HeaderLines, check_served_elsewhere;
    endless_noise_goes_to_the_next_target: Noise, check_served_elsewhere;
    /// An endless body was once passed on for as long as its caller read it.
    an_endless_body_ends_with_the_time_of_its_caller: Body, check_ends;
    a_slow_endless_body_ends_with_the_time_of_its_caller: SlowBody, check_ends;
}

/// Callers of a service with one such target and a sound one are served in time.
async fn check_served_elsewhere(part: EndlessPart) {
    let fleet = EntryFleet::start(1, 2).await;
    let endless = EndlessTarget::start(part).await.unwrap();
    fleet.replace_target(0, endless.address());
    let mut met = 0;
    for object in 0..30 {
        let request = CallerRequest::page().with_header("x-affinity-key", &object.to_string());
        let started_at = Instant::now();
        let answer = fleet.send_request(0, request).await;
        assert_eq!(answer.status(), 200, "{answer:?}");
        assert!(started_at.elapsed() < SERVED_TIME, "{:?}", started_at.elapsed());
        met = met.max(endless.answering());
    }
    fleet.wait_until("no answer is read any more", async || endless.answering() == 0).await;
}

/// A body without end is given up once its caller's time is over, for many callers at once, and the host serves others.
async fn check_ends(part: EndlessPart) {
    let fleet = EntryFleet::start(1, 1).await;
    let endless = EndlessTarget::start(part).await.unwrap();
    fleet.replace_target(0, endless.address());
    fleet
        .wait_until("the target is met", async || {
            let call = fleet.try_send_request(0, CallerRequest::page());
            tokio::time::timeout(Duration::from_millis(200), call).await.is_err()
        })
        .await;
    let started_at = Instant::now();
    let calls = (0..CALLERS).map(|_| fleet.try_send_request(0, CallerRequest::page()));
    let answers = tokio::time::timeout(CALLER_TIME + END_MARGIN, join_all(calls)).await;
    assert!(answers.is_ok(), "callers still read after {:?}", started_at.elapsed());
    let served = answers.iter().flatten().flatten().filter(|answer| answer.status() == 200);
    assert_eq!(served.count(), 0, "complete answers");
    fleet.wait_until("no answer is read any more", async || endless.answering() == 0).await;
    assert!(fleet.is_ready(0).await);
}
