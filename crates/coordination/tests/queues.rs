//! Fair queue, retry budget and retry backoff.

use std::time::Duration;
use std::time::Instant;

use coordination::fair_queue::EntryParams;
use coordination::fair_queue::FairQueue;
use coordination::fair_queue::QueueBounds;
use coordination::fair_queue::QueueRefusal;
use coordination::retry_budget::RetryBudget;
use coordination::retry_budget::full_jitter;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const BOUNDS: QueueBounds =
    QueueBounds { per_customer: 20, total: 100, longest_wait: Duration::from_secs(2) };

fn params(customer: &str, weight: u32, class: usize, deadline: Instant) -> EntryParams {
    EntryParams { customer: customer.into(), weight, class, deadline }
}

fn queue_of(
    entries: &[(&'static str, u32, usize, usize)],
    now: Instant,
) -> FairQueue<&'static str> {
    let mut queue = FairQueue::new(BOUNDS);
    for (customer, weight, class, count) in entries {
        for _ in 0..*count {
            let deadline = now + Duration::from_secs(10);
            let taken = queue.push(*customer, params(customer, *weight, *class, deadline), now);
            assert!(taken.is_ok());
        }
    }
    queue
}

macro_rules! served_first {
    ($($name:ident: $entries:expr, $take:expr => $counts:expr,)*) => {$(
        #[test]
        fn $name() {
            let now = Instant::now();
            let mut queue = queue_of(&$entries, now);
            let served: Vec<_> = (0..$take).filter_map(|_| queue.pop(now)).collect();
            for (customer, count) in $counts {
                let seen = served.iter().filter(|name| **name == customer).count();
                assert_eq!(seen, count, "{customer} in {served:?}");
            }
        }
    )*};
}

served_first! {
    a_heavy_customer_gets_an_equal_share:
        [("heavy", 1, 1, 20), ("light", 1, 1, 4)], 8 => [("heavy", 4), ("light", 4)],
    shares_follow_weights:
        [("gold", 3, 1, 12), ("plain", 1, 1, 12)], 8 => [("gold", 6), ("plain", 2)],
    urgent_goes_first:
        [("archive", 1, 2, 8), ("urgent", 1, 0, 8)], 8 => [("urgent", 8), ("archive", 0)],
    archive_is_not_starved:
        [("archive", 1, 2, 3), ("urgent", 1, 0, 20), ("more", 1, 0, 20)], 35 => [("archive", 2)],
}

/// An item that can not be served is passed over; it kept all those behind it waiting.
#[test]
fn items_behind_one_that_cannot_be_served_are_served() {
    let now = Instant::now();
    let mut queue = queue_of(&[("stuck", 1, 0, 2), ("light", 1, 0, 1), ("archive", 1, 2, 1)], now);
    let served: Vec<_> =
        std::iter::from_fn(|| queue.pop_where(now, |name| *name != "stuck")).collect();
    assert_eq!((served, queue.len()), (vec!["light", "archive"], 2));
    assert_eq!(queue.items().copied().collect::<Vec<_>>(), ["stuck", "stuck"]);
    assert_eq!(queue.pop(now), Some("stuck"));
}

#[test]
fn the_time_of_an_item_that_cannot_be_served_is_no_service_time() {
    let now = Instant::now();
    let mut queue = queue_of(&[("stuck", 1, 0, 1), ("light", 1, 0, 2)], now);
    let later = now + Duration::from_secs(60);
    for served_at in [now, now, later] {
        queue.pop_where(served_at, |name| *name != "stuck");
    }
    assert!(
        queue.push("light", params("light", 1, 0, later + Duration::from_secs(10)), later).is_ok()
    );
    assert_eq!(queue.pop_where(later, |name| *name != "stuck"), Some("light"));
    assert_eq!(queue.expected_wait(&params("light", 1, 0, later)), Duration::ZERO);
}

#[test]
fn a_full_customer_queue_refuses_at_once() {
    let now = Instant::now();
    let mut queue = queue_of(&[("heavy", 1, 1, 20)], now);
    let late = params("heavy", 1, 1, now + Duration::from_secs(10));
    assert!(matches!(queue.push("heavy", late, now), Err((_, QueueRefusal::Full(_)))));
    let other = params("light", 1, 1, now + Duration::from_secs(10));
    assert!(queue.push("light", other, now).is_ok());
}

#[test]
fn an_item_whose_turn_comes_too_late_is_refused_at_once() {
    let now = Instant::now();
    let mut queue = queue_of(&[("heavy", 1, 1, 15)], now);
    for step in 0..5 {
        queue.pop(now + Duration::from_millis(100) * step);
    }
    let later = now + Duration::from_millis(500);
    let hasty = params("heavy", 1, 1, later + Duration::from_millis(500));
    let refusal = queue.push("heavy", hasty, later).unwrap_err().1;
    assert_eq!(refusal, QueueRefusal::TooLate(Duration::from_millis(600)));
    let patient = params("heavy", 1, 1, later + Duration::from_secs(5));
    assert!(queue.push("heavy", patient, later).is_ok());
}

#[test]
fn expired_items_leave() {
    let now = Instant::now();
    let mut queue = queue_of(&[("heavy", 1, 1, 3)], now);
    assert_eq!(queue.remove_expired(now + Duration::from_secs(1)).len(), 0);
    assert_eq!(queue.remove_expired(now + Duration::from_secs(2)).len(), 3);
    assert!(queue.is_empty());
}

#[test]
fn retries_stay_within_their_share() {
    let mut budget = RetryBudget::new();
    let saved = (0..100).filter(|_| budget.take_retry()).count();
    assert_eq!(saved, 10);
    for _ in 0..100 {
        budget.record_first_attempt(5.0);
    }
    assert_eq!((0..100).filter(|_| budget.take_retry()).count(), 5);
}

#[test]
fn jitter_stays_under_its_bound() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let base = Duration::from_millis(10);
    let longest = Duration::from_millis(200);
    for attempt in 0..40 {
        let bound = base.saturating_mul(1 << attempt.min(10)).min(longest);
        assert!(full_jitter(attempt, base, longest, &mut rng) <= bound);
    }
}
