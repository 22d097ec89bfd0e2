//! What a host holds of answers that their callers have not read.

use std::sync::Arc;

use coordination::answer_budget::AnswerBounds;
use coordination::answer_budget::AnswerBudget;
use coordination::answer_budget::AnswerShare;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

const BOUNDS: AnswerBounds = AnswerBounds { answer_bytes: 1_000, shared_bytes: 3_000 };
const ANSWERS: usize = 20;

/// Each case: sizes of answers that are held at once, and which of them are held whole.
macro_rules! answers {
    ($($name:ident: $sizes:expr => held $held:expr;)*) => {
        $(#[test] fn $name() {
            let budget = Arc::new(AnswerBudget::new(BOUNDS));
            let mut shares = Vec::new();
            let held: Vec<bool> = $sizes.iter().map(|bytes| {
                let mut share = budget.share();
                let is_held = share.grow(*bytes);
                shares.push(share);
                is_held
            }).collect();
            assert_eq!(held, $held);
            drop(shares);
            assert_eq!(budget.used_bytes(), 0);
        })*
    };
}

answers! {
    an_answer_up_to_its_bound_is_held: [1_000] => held [true];
    an_answer_beyond_its_bound_is_not_held: [1_001] => held [false];
    answers_share_the_budget: [1_000, 1_000, 900, 101, 100] => held [true, true, true, false, true];
    an_overflowing_size_is_not_held: [1, usize::MAX] => held [true, false];
}

/// Slow callers of large answers: each answer arrives in parts of 100 bytes, one caller reads and the others don't. The caller that
/// reads gets all of its answer, and the others what the budget holds.
#[test]
fn a_caller_that_reads_is_served_beside_callers_that_do_not() {
    let budget = Arc::new(AnswerBudget::new(BOUNDS));
    let mut slow: Vec<AnswerShare> = (0..ANSWERS).map(|_| budget.share()).collect();
    let mut reader = budget.share();
    let mut read = 0;
    for _ in 0..100 {
        for share in &mut slow {
            let _ = share.grow(100);
        }
        // A part that finds no room is passed on directly.
        match reader.grow(100) {
            true => reader.shrink(100),
            false => assert_eq!(reader.held_bytes(), 0),
        }
        read += 100;
    }
    assert_eq!((read, budget.used_bytes()), (10_000, BOUNDS.shared_bytes));
    assert!(slow.iter().all(|share| share.held_bytes() <= BOUNDS.answer_bytes));
}

proptest! {
    /// Steps of many answers: each receives bytes of an answer, passes some on, or ends it.
    #[test]
    fn answers_never_take_more_than_their_bounds(
        steps in prop::collection::vec((0..ANSWERS, 0_usize..400, 0_usize..400, any::<bool>()), 0..200)
    ) {
        let budget = Arc::new(AnswerBudget::new(BOUNDS));
        let mut shares: Vec<AnswerShare> = (0..ANSWERS).map(|_| budget.share()).collect();
        for (answer, received, passed_on, is_end) in steps {
            let before = shares[answer].held_bytes();
            let has_room = before + received <= BOUNDS.answer_bytes
                && budget.used_bytes() + received <= BOUNDS.shared_bytes;
            assert_eq!(shares[answer].grow(received), has_room);
            shares[answer].shrink(passed_on);
            if is_end {
                shares[answer] = budget.share();
            }
            let held: usize = shares.iter().map(AnswerShare::held_bytes).sum();
            assert_eq!(budget.used_bytes(), held);
            assert!(held <= BOUNDS.shared_bytes);
        }
    }
}
