//! What a host buffers of request bodies.

use std::sync::Arc;

use coordination::buffer_budget::BufferBounds;
use coordination::buffer_budget::BufferBudget;
use coordination::buffer_budget::BufferShare;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;

const BOUNDS: BufferBounds =
    BufferBounds { assured_bytes: 64, body_bytes: 1_000, shared_bytes: 3_000 };

macro_rules! bodies {
    ($($name:ident: $bodies:expr => kept $kept:expr;)*) => {
        $(#[test] fn $name() {
            let budget = Arc::new(BufferBudget::new(BOUNDS));
            let mut shares = Vec::new();
            let kept: Vec<bool> = $bodies.iter().map(|bytes| grow(&budget, &mut shares, *bytes)).collect();
            assert_eq!(kept, $kept);
            drop(shares);
            assert_eq!(budget.used_bytes(), 0);
        })*
    };
}

bodies! {
    a_body_up_to_its_bound_is_kept: [1_000] => kept [true];
    a_body_beyond_its_bound_is_not_kept: [1_001] => kept [false];
    large_bodies_share_what_is_left: [1_000, 1_000, 1_000, 1_000] => kept [true, true, true, false];
    assured_starts_are_kept_beside_large_bodies: [1_000, 1_000, 1_000, 64, 256, 257] => kept [true, true, true, true, true, false];
}

fn grow(budget: &Arc<BufferBudget>, shares: &mut Vec<BufferShare>, bytes: usize) -> bool {
    let mut share = budget.share();
    let is_kept = share.grow(bytes);
    shares.push(share);
    is_kept
}

proptest! {
    /// Steps of many bodies: each grows a body, or ends it.
    #[test]
    fn bodies_never_take_more_than_their_bounds(
        steps in prop::collection::vec((0_usize..20, 0_usize..400, any::<bool>()), 0..200)
    ) {
        let budget = Arc::new(BufferBudget::new(BOUNDS));
        let mut shares: Vec<(BufferShare, usize)> = (0..20).map(|_| (budget.share(), 0)).collect();
        for (body, bytes, is_end) in steps {
            let (share, held) = &mut shares[body];
            match is_end {
                true => (*share, *held) = (budget.share(), 0),
                false => {
                    let is_kept = share.grow(bytes);
                    *held += if is_kept { bytes } else { 0 };
                    assert!(is_kept || *held + bytes > BOUNDS.assured_bytes);
                }
            }
            let shared: usize = shares.iter().map(|(_, held)| held.saturating_sub(BOUNDS.assured_bytes)).sum();
            assert_eq!(budget.used_bytes(), shared);
            assert!(shared <= BOUNDS.shared_bytes);
            assert!(shares.iter().all(|(_, held)| *held <= BOUNDS.body_bytes));
        }
    }
}
