//! The outcome table: no request begins twice within its lifetime, and memory stays bounded.

use std::time::Duration;
use std::time::Instant;

use coordination::outcome_table::BeginResult;
use coordination::outcome_table::KnownOutcome;
use coordination::outcome_table::OutcomeBounds;
use coordination::outcome_table::OutcomeTable;
use coordination::outcome_table::SizedAnswer;
use indexmap::IndexMap;
use proptest::prelude::*;

const BOUNDS: OutcomeBounds =
    OutcomeBounds { max_entries: 8, max_entries_per_customer: 3, max_bytes: 100 };
const LIFETIME: Duration = Duration::from_secs(10);

#[derive(Clone, Debug, PartialEq)]
struct FakeAnswer(usize);

impl SizedAnswer for FakeAnswer {
    fn bytes(&self) -> usize {
        self.0
    }

    fn summary(&self) -> Self {
        Self(0)
    }
}

fn table() -> OutcomeTable<FakeAnswer> {
    OutcomeTable::new(BOUNDS)
}

#[test]
fn second_use_waits_and_then_sees_the_outcome() {
    let (mut table, now) = (table(), Instant::now());
    assert_eq!(table.begin("a", "t", now + LIFETIME, now), BeginResult::First);
    assert_eq!(table.begin("a", "t", now + LIFETIME, now), BeginResult::Running);
    table.finish("a", KnownOutcome::Answered(FakeAnswer(5)));
    let known = KnownOutcome::Answered(FakeAnswer(5));
    assert_eq!(table.begin("a", "t", now + LIFETIME, now), BeginResult::Known(known));
}

#[test]
fn released_request_may_begin_again() {
    let (mut table, now) = (table(), Instant::now());
    table.begin("a", "t", now + LIFETIME, now);
    table.release("a");
    assert_eq!(table.begin("a", "t", now + LIFETIME, now), BeginResult::First);
}

#[test]
fn finished_request_cannot_be_released() {
    let (mut table, now) = (table(), Instant::now());
    table.begin("a", "t", now + LIFETIME, now);
    table.finish("a", KnownOutcome::Unknown);
    table.release("a");
    assert_eq!(
        table.begin("a", "t", now + LIFETIME, now),
        BeginResult::Known(KnownOutcome::Unknown)
    );
}

#[test]
fn one_customer_cannot_fill_the_table() {
    let (mut table, now) = (table(), Instant::now());
    for id in ["a", "b", "c"] {
        assert_eq!(table.begin(id, "large", now + LIFETIME, now), BeginResult::First);
    }
    assert_eq!(table.begin("d", "large", now + LIFETIME, now), BeginResult::Full);
    assert_eq!(table.begin("e", "small", now + LIFETIME, now), BeginResult::First);
}

#[test]
fn answer_without_room_is_kept_as_its_summary() {
    let (mut table, now) = (table(), Instant::now());
    for (id, size) in [("a", 90), ("b", 20)] {
        table.begin(id, "t", now + LIFETIME, now);
        table.finish(id, KnownOutcome::Answered(FakeAnswer(size)));
    }
    assert_eq!(table.outcome("b"), Some(KnownOutcome::Answered(FakeAnswer(0))));
    assert!(table.bytes() <= BOUNDS.max_bytes);
}

#[test]
fn running_request_is_handed_over_as_unknown() {
    let (mut table, now) = (table(), Instant::now());
    table.begin("a", "t", now + LIFETIME, now);
    assert_eq!(table.unexpired_outcomes(now), vec![("a".into(), KnownOutcome::Unknown, LIFETIME)]);
}

#[derive(Clone, Debug)]
enum TableStep {
    Begin(u8, u8),
    Finish(u8, usize),
    Release(u8),
    Wait(u64),
}

fn step() -> impl Strategy<Value = TableStep> {
    prop_oneof![
        4 => (0_u8..12, 0_u8..4).prop_map(|(id, customer)| TableStep::Begin(id, customer)),
        3 => (0_u8..12, 0_usize..80).prop_map(|(id, size)| TableStep::Finish(id, size)),
        1 => (0_u8..12).prop_map(TableStep::Release),
        1 => (0_u64..12).prop_map(TableStep::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(61),
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_begins_twice_within_its_life(steps in prop::collection::vec(step(), 1..120)) {
        let mut table = table();
        let mut now = Instant::now();
        let mut begun: IndexMap<u8, Instant> = IndexMap::new();
        for step in steps {
            match step {
                TableStep::Begin(id, customer) => {
                    let begin = table.begin(&id.to_string(), &customer.to_string(), now + LIFETIME, now);
                    if begin == BeginResult::First {
                        let known = begun.insert(id, now + LIFETIME);
                        prop_assert!(known.is_none_or(|expires| expires <= now));
                    }
                }
                TableStep::Finish(id, size) => {
                    table.finish(&id.to_string(), KnownOutcome::Answered(FakeAnswer(size)));
                }
                TableStep::Release(id) if table.is_running(&id.to_string()) => {
                    table.release(&id.to_string());
                    begun.swap_remove(&id);
                }
                TableStep::Release(_) => {}
                TableStep::Wait(seconds) => now += Duration::from_secs(seconds),
            }
            prop_assert!(table.len() <= BOUNDS.max_entries);
            prop_assert!(table.bytes() <= BOUNDS.max_bytes);
        }
    }
}
