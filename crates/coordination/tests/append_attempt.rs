//! Append attempts while the store's replies are lost, delayed or overtaken by a competing write.

use coordination::append_attempt::AppendAttempt;
use coordination::append_attempt::AppendStep;
use coordination::append_attempt::AppendVerdict;
use coordination::append_attempt::CreateOutcome;
use coordination::append_attempt::ReadOutcome;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const REVISION: u64 = 10;

/// What happens to one call to the store.
#[derive(Clone, Copy, Debug)]
enum CallResult {
    Answered,
    AnswerLost,
    /// The reply is lost, and the write takes effect only after the next step.
    Delayed,
    NotSent,
}

struct StoreModel {
    object: Option<&'static str>,
    in_flight: u32,
    rival_at: Option<usize>,
    trimmed_to: u64,
}

impl StoreModel {
    fn create(&mut self, owner: &'static str) -> bool {
        let absent = self.object.is_none();
        if absent {
            self.object = Some(owner);
        }
        absent
    }

    fn deliver_delayed(&mut self) {
        for _ in 0..std::mem::take(&mut self.in_flight) {
            self.create("ours");
        }
    }

    fn answer_create(&mut self, result: CallResult) -> CreateOutcome {
        match result {
            CallResult::Answered if self.create("ours") => CreateOutcome::Created,
            CallResult::Answered => CreateOutcome::Exists,
            CallResult::AnswerLost => {
                self.create("ours");
                CreateOutcome::Lost
            }
            CallResult::Delayed => {
                self.in_flight += 1;
                CreateOutcome::Lost
            }
            CallResult::NotSent => CreateOutcome::NotSent,
        }
    }

    fn answer_read(&self, result: CallResult) -> ReadOutcome {
        match (result, self.object) {
            (CallResult::Answered, Some("ours")) => ReadOutcome::Ours,
            (CallResult::Answered, Some(_)) => ReadOutcome::Other,
            (CallResult::Answered, None) => ReadOutcome::Absent,
            _ => ReadOutcome::Failed,
        }
    }
}

fn run(store: &mut StoreModel, results: &[CallResult]) -> AppendVerdict {
    let mut attempt = AppendAttempt::new(REVISION);
    let mut results = results.iter().copied().chain(std::iter::repeat(CallResult::Answered));
    for step in 0.. {
        if store.rival_at == Some(step) {
            store.create("rival");
        }
        let pending = std::mem::take(&mut store.in_flight);
        let result = results.next().unwrap_or(CallResult::Answered);
        match attempt.step() {
            AppendStep::Create => attempt.record_create(store.answer_create(result)),
            AppendStep::ReadBack => attempt.record_read_back(store.answer_read(result)),
            AppendStep::ReadTrimMark => attempt.record_trim_mark(match result {
                CallResult::Answered => Some(store.trimmed_to),
                _ => None,
            }),
            AppendStep::Done(verdict) => {
                store.in_flight += pending;
                store.deliver_delayed();
                return verdict;
            }
        }
        let later = std::mem::replace(&mut store.in_flight, pending);
        store.deliver_delayed();
        store.in_flight = later;
    }
    unreachable!()
}

macro_rules! verdict {
    ($($name:ident: $results:expr, rival $rival:expr, trimmed $trimmed:expr => $verdict:ident,)*) => {$(
        #[test]
        fn $name() {
            let mut store = StoreModel {
                object: None, in_flight: 0, rival_at: $rival, trimmed_to: $trimmed,
            };
            assert_eq!(run(&mut store, &$results), AppendVerdict::$verdict);
        }
    )*};
}

verdict! {
    answered: [], rival None, trimmed 0 => Accepted,
    answer_lost_after_the_write: [CallResult::AnswerLost], rival None, trimmed 0 => Accepted,
    write_still_on_its_way: [CallResult::Delayed], rival None, trimmed 0 => Accepted,
    write_on_its_way_beaten_by_a_rival: [CallResult::Delayed], rival Some(1), trimmed 0 => Raced,
    rival_came_first: [], rival Some(0), trimmed 0 => Raced,
    store_out_before_the_write: [CallResult::NotSent], rival None, trimmed 0 => NotAccepted,
    store_out_after_the_write: [CallResult::AnswerLost].into_iter().chain([CallResult::NotSent; 12])
        .collect::<Vec<_>>(), rival None, trimmed 0 => Unknown,
    record_created_again_below_the_trim_mark: [], rival None, trimmed 20 => Raced,
}

fn result() -> impl Strategy<Value = CallResult> {
    prop_oneof![
        Just(CallResult::Answered),
        Just(CallResult::AnswerLost),
        Just(CallResult::Delayed),
        Just(CallResult::NotSent),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5), failure_persistence: None, cases: 2_000,
        ..ProptestConfig::default()
    })]

    #[test]
    fn verdict_agrees_with_the_store(
        results in prop::collection::vec(result(), 0..14),
        rival_at in prop::option::of(0_usize..8),
    ) {
        let mut store = StoreModel { object: None, in_flight: 0, rival_at, trimmed_to: 0 };
        match run(&mut store, &results) {
            AppendVerdict::Accepted => prop_assert_eq!(store.object, Some("ours")),
            AppendVerdict::Raced => prop_assert_eq!(store.object, Some("rival")),
            AppendVerdict::NotAccepted => prop_assert_ne!(store.object, Some("ours")),
            AppendVerdict::Unknown => {}
        }
    }
}
