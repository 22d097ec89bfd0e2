//! Coalesces reads of the same key. A reader joins only a read that has not started yet, so that its result is never
//! older than its own call.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use futures::FutureExt;
use futures::future::BoxFuture;
use futures::future::Shared;
use indexmap::IndexMap;

/// Keys with reads in flight that are coalesced; reads of further keys are sent individually.
const MAX_KEYS: usize = 256;

type QueueTable<T> = IndexMap<Box<str>, Arc<ReadQueue<T>>>;
type SharedRead<T> = Shared<BoxFuture<'static, T>>;

/// Coalesces reads of the same key: for each key at most one read is in flight and one is pending.
pub(crate) struct ReadCoalescer<T: Clone> {
    queues: Mutex<QueueTable<T>>,
}

struct ReadQueue<T: Clone> {
    in_flight: tokio::sync::Mutex<()>,
    pending: Mutex<Option<SharedRead<T>>>,
}

impl<T: Clone + Send + Sync + 'static> ReadCoalescer<T> {
    pub(crate) fn new() -> Self {
        Self { queues: Mutex::default() }
    }

    /// Runs `read`, or shares the result of the pending read of the same key.
    pub(crate) async fn read<F>(&self, key: &str, read: F) -> T
    where
        F: Future<Output = T> + Send + 'static,
    {
        let queue = match self.queue_for(key) {
            Some(queue) => queue,
            None => return read.await,
        };
        let shared = {
            let mut pending = queue.pending.lock().unwrap_or_else(PoisonError::into_inner);
            match &*pending {
                Some(shared) => shared.clone(),
                None => {
                    let shared = Self::enqueue_read(Arc::clone(&queue), read);
                    *pending = Some(shared.clone());
                    shared
                }
            }
        };
        let answer = shared.await;
        drop(queue);
        self.remove_idle_queue(key);
        answer
    }

    fn enqueue_read<F>(queue: Arc<ReadQueue<T>>, read: F) -> SharedRead<T>
    where
        F: Future<Output = T> + Send + 'static,
    {
        async move {
            let _in_flight = queue.in_flight.lock().await;
            queue.pending.lock().unwrap_or_else(PoisonError::into_inner).take();
            read.await
        }
        .boxed()
        .shared()
    }

    fn queue_for(&self, key: &str) -> Option<Arc<ReadQueue<T>>> {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if !queues.contains_key(key) && queues.len() >= MAX_KEYS {
            return None;
        }
        let queue = queues.entry(key.into()).or_insert_with(|| {
            Arc::new(ReadQueue {
                in_flight: tokio::sync::Mutex::default(),
                pending: Mutex::default(),
            })
        });
        Some(Arc::clone(queue))
    }

    fn remove_idle_queue(&self, key: &str) {
        let mut queues = self.queues.lock().unwrap_or_else(PoisonError::into_inner);
        if queues.get(key).is_some_and(|queue| Arc::strong_count(queue) == 1) {
            queues.swap_remove(key);
        }
    }
}
