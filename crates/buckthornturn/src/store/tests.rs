//! Read coalescing, call budget and reachability of the store.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::poll;
use tokio::sync::Semaphore;

use crate::interface::StoreError;
use crate::store::StoreCallKind;
use crate::store::StoreGuard;
use crate::store::read_coalescer::ReadCoalescer;

#[tokio::test]
async fn equal_reads_share_the_next_call_and_never_an_earlier_one() {
    let coalescer = ReadCoalescer::<u64>::new();
    let calls = Arc::new(AtomicU64::new(0));
    let gate = Arc::new(Semaphore::new(0));
    let read = || {
        let (calls, gate) = (Arc::clone(&calls), Arc::clone(&gate));
        coalescer.read("key", async move {
            let number = calls.fetch_add(1, Ordering::Relaxed) + 1;
            gate.acquire().await.unwrap().forget();
            number
        })
    };
    let mut first = pin!(read());
    assert!(poll!(&mut first).is_pending());
    let mut later = pin!(futures::future::join_all((0..10).map(|_| read())));
    assert!(poll!(&mut later).is_pending());
    gate.add_permits(3);
    assert_eq!(first.await, 1);
    assert_eq!(later.await, vec![2; 10]);
    assert_eq!(read().await, 3);
}

#[tokio::test]
async fn call_without_budget_is_not_made() {
    let guard = StoreGuard::new(0.0);
    for _ in 0..4 {
        guard.admit(StoreCallKind::Get, Duration::ZERO).await.unwrap();
    }
    let refused = guard.admit(StoreCallKind::Get, Duration::ZERO).await;
    assert!(matches!(refused, Err(StoreError::Unavailable { .. })), "{refused:?}");
    assert_eq!((guard.count(StoreCallKind::Get).admitted, guard.rejected()), (4, 1));
}

#[tokio::test]
async fn store_counts_as_reached_until_failures_persist() {
    let guard = StoreGuard::new(100.0);
    let now = Instant::now();
    assert!(guard.is_reached(now));
    guard.record_failure(StoreCallKind::Watch);
    assert!(guard.is_reached(now));
    assert!(!guard.is_reached(now + Duration::from_secs(2)));
    guard.record_success();
    assert!(guard.is_reached(now + Duration::from_secs(2)));
}

#[tokio::test]
async fn store_counts_as_reached_while_a_write_may_be_in_flight() {
    let guard = StoreGuard::new(100.0);
    guard.admit(StoreCallKind::Put, Duration::ZERO).await.unwrap();
    guard.record_failure(StoreCallKind::Put);
    let now = Instant::now();
    assert!(guard.is_reached(now + Duration::from_secs(3)));
    assert!(!guard.is_reached(now + Duration::from_secs(6)));
}
