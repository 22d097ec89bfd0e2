//! Which parts of an answer are read ahead of a slow caller.

use std::sync::Arc;

use bytes::Bytes;
use coordination::answer_budget::AnswerBounds;
use coordination::answer_budget::AnswerBudget;
use futures::FutureExt;

use crate::callers::BodyFault;
use crate::entry::read_ahead::PART_BYTES;
use crate::entry::read_ahead::ReadAhead;

const PART: Bytes = Bytes::from_static(&[b'a'; PART_BYTES]);

fn answer_of(answer_parts: usize, shared_parts: usize) -> (Arc<AnswerBudget>, Arc<ReadAhead>) {
    let bounds = AnswerBounds {
        answer_bytes: answer_parts * PART_BYTES,
        shared_bytes: shared_parts * PART_BYTES,
    };
    let budget = Arc::new(AnswerBudget::new(bounds));
    let mut share = budget.share();
    share.grow(PART_BYTES);
    let ahead = Arc::new(ReadAhead::new(PART, share));
    (budget, ahead)
}

async fn read_part(ahead: &ReadAhead) -> Option<Result<Bytes, BodyFault>> {
    std::future::poll_fn(|context| ahead.poll_part(context)).await
}

/// Number of parts that a target can send before it has to wait for the caller.
fn parts_ahead(ahead: &ReadAhead) -> usize {
    (0..100).take_while(|_| ahead.push(PART).now_or_never().is_some()).count()
}

/// Each case: parts that the budget has for one answer and for all, and parts that are taken beyond the start of the answer.
macro_rules! slow_callers {
    ($($name:ident: $answer:literal of $shared:literal => $ahead:literal;)*) => {$(
        #[test]
        fn $name() {
            let (budget, ahead) = answer_of($answer, $shared);
            assert_eq!(parts_ahead(&ahead), $ahead);
            assert!(budget.used_bytes() <= $shared * PART_BYTES);
            drop(ahead);
            assert_eq!(budget.used_bytes(), 0);
        }
    )*};
}

slow_callers! {
    an_answer_within_the_budget_is_read_to_its_end: 200 of 200 => 100;
    an_answer_is_read_up_to_its_own_bound: 4 of 200 => 3;
    an_answer_is_read_up_to_what_all_answers_leave: 200 of 6 => 5;
    an_answer_without_room_is_passed_on_part_by_part: 0 of 0 => 0;
}

/// Back-pressure: a target that waits for room goes on when its caller reads.
#[tokio::test]
async fn a_caller_that_reads_makes_room_for_the_target() {
    let (_budget, ahead) = answer_of(0, 0);
    let target = tokio::spawn({
        let ahead = Arc::clone(&ahead);
        async move {
            for _ in 0..50 {
                ahead.push(PART).await;
            }
            ahead.end(Ok(()));
        }
    });
    let mut bytes = 0;
    while let Some(part) = read_part(&ahead).await {
        bytes += part.map_or(0, |part| part.len());
    }
    assert_eq!(bytes, 51 * PART_BYTES);
    target.await.unwrap();
}

/// An answer that its target cut off must not look complete, also if all parts that came were held.
#[tokio::test]
async fn a_cut_answer_ends_with_its_fault_after_the_parts_that_came() {
    let (_budget, ahead) = answer_of(10, 10);
    ahead.push(PART).await;
    ahead.end(Err(BodyFault::Overdue));
    ahead.end(Ok(()));
    assert_eq!(read_part(&ahead).await, Some(Ok(PART)));
    assert_eq!(read_part(&ahead).await, Some(Ok(PART)));
    assert_eq!(read_part(&ahead).await, Some(Err(BodyFault::Overdue)));
    assert_eq!(read_part(&ahead).await, Some(Err(BodyFault::Overdue)));
}
