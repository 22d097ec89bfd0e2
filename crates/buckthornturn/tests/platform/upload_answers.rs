//! Long answers to uploads that are still being sent.

use std::time::Duration;

use standin::network::LinkCut;
use standin::platform::AnswerStep;

use crate::upload_caller::UploadCall;
use crate::upload_caller::UploadFraming;
use crate::uploads::FAILS;
use crate::uploads::REFUSES;
use crate::uploads::SUCCEEDS;
use crate::uploads::UploadFleet;
use crate::uploads::check_uploads;

const SUCCEEDS_AT_LENGTH: AnswerStep = SUCCEEDS.with_body(2_000_000);
const FAILS_AT_LENGTH: AnswerStep = FAILS.with_body(400_000);

/// The rest of a body once was taken from the target while its answer was passed on, so that callers got a part of the answer.
macro_rules! long_answers {
    ($($name:ident: $bytes:literal in $framing:ident, $steps:expr;)*) => {
        $(#[tokio::test] async fn $name() {
            let call = UploadCall::new($bytes, UploadFraming::$framing);
            let call = UploadCall { part_bytes: 2_000, pause: Duration::from_millis(10), ..call };
            check_uploads(call, &$steps, Duration::ZERO).await;
        })*
    };
}

long_answers! {
    a_long_answer_to_a_body_that_is_still_sent_is_whole: 180_000 in Length, [SUCCEEDS_AT_LENGTH];
    a_long_answer_to_a_chunked_body_that_is_still_sent_is_whole: 180_000 in Chunks, [SUCCEEDS_AT_LENGTH];
    a_long_failure_of_the_second_target_is_whole: 180_000 in Length, [REFUSES, FAILS_AT_LENGTH];
    a_long_answer_to_a_short_body_is_whole: 20_000 in Chunks, [SUCCEEDS_AT_LENGTH];
}

#[tokio::test]
async fn a_long_answer_by_way_of_a_peer_is_whole() {
    let fleet = UploadFleet::start(2, &[SUCCEEDS_AT_LENGTH]).await;
    fleet.fleet.cut_host(0, LinkCut::Resetting);
    let forwards = async || fleet.send_page(0).await.is_some();
    fleet.fleet.wait_until("the host forwards", forwards).await;
    let call = UploadCall::new(180_000, UploadFraming::Chunks);
    let call = UploadCall { part_bytes: 2_000, pause: Duration::from_millis(10), ..call };
    let statuses = fleet.send_rounds(0, call).await;
    fleet.check().await;
    assert!(statuses.iter().all(|status| *status == Some(200)), "{statuses:?}");
}
