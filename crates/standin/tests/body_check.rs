//! Comparison of requests with what their callers sent.

use bytes::Bytes;
use standin::body_check::BodyTally;
use standin::body_check::MismatchKind;
use standin::body_check::RequestStamp;
use standin::body_check::RunRequest;

macro_rules! mismatch_case {
    ($($name:ident: $method:literal, $target:literal, $sent:literal run as $run:literal => $kind:expr;)*) => {
        $(
            #[test]
            fn $name() {
                let stamp = RequestStamp::keeping("PUT", "/a?b=c", &Bytes::from_static($sent));
                let tally = compare(&stamp.to_string(), $method, $target, $run);
                let kind = tally.mismatches().first().map(|mismatch| mismatch.kind);
                let expected: Option<MismatchKind> = $kind;
                assert_eq!(kind, expected);
                let counts = tally.counts();
                let numbers = (counts.compared, counts.differing, counts.unchecked);
                assert_eq!(numbers, (1, u64::from(expected.is_some()), 0));
            }
        )*
    };
}

mismatch_case! {
    the_same_request_matches: "PUT", "/a?b=c", b"body-1" run as b"body-1" => None;
    an_empty_body_matches: "PUT", "/a?b=c", b"" run as b"" => None;
    another_method_is_found: "POST", "/a?b=c", b"body-2" run as b"body-2" => Some(MismatchKind::Method);
    another_query_is_found: "PUT", "/a?b=d", b"body-3" run as b"body-3" => Some(MismatchKind::Target);
    a_lost_body_is_found: "PUT", "/a?b=c", b"body-4" run as b"" => Some(MismatchKind::NoBody);
    a_lost_start_is_found: "PUT", "/a?b=c", b"body-5" run as b"dy-5" => Some(MismatchKind::LostStart);
    a_lost_end_is_found: "PUT", "/a?b=c", b"body-6" run as b"body" => Some(MismatchKind::LostEnd);
    a_short_foreign_body_is_found: "PUT", "/a?b=c", b"body-7" run as b"GET" => Some(MismatchKind::Short);
    a_longer_body_is_found: "PUT", "/a?b=c", b"body-8" run as b"body-8 " => Some(MismatchKind::Longer);
    a_changed_byte_is_found: "PUT", "/a?b=c", b"body-9" run as b"bodY-9" => Some(MismatchKind::OtherBytes);
}

#[test]
#[should_panic = "other requests than callers sent"]
fn a_mismatch_panics() {
    let stamp = RequestStamp::new("PUT", "/", b"body");
    compare(&stamp.to_string(), "PUT", "/", b"bodY").assert_unchanged("t");
}

#[test]
#[should_panic = "unchecked: 1"]
fn a_body_without_a_stamp_panics() {
    compare("", "PUT", "/", b"body").assert_unchanged("t");
}

#[test]
fn a_malformed_body_that_a_test_states_does_not_panic() {
    let tally = compare("", "PUT", "/", b"body");
    tally.allow_malformed_bodies();
    tally.assert_unchanged("t");
}

fn compare(stamp: &str, method: &str, target: &str, body: &[u8]) -> BodyTally {
    let tally = BodyTally::default();
    tally.compare(RunRequest { id: "1", stamp, method, target, body });
    tally
}
