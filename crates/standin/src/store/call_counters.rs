//! Counters of calls to the store, by kind, client and second.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Instant;

use buckthornturn::store::StoreCallKind;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;

/// Number of clients with counts of their own; further ones are counted together as `other`.
const MAX_CLIENTS: usize = 10_000;
/// Number of seconds with counts of their own; later calls count towards the last one.
const MAX_SECONDS: usize = 3_600;
const OTHER_CLIENTS: &str = "other";

/// Counts calls by kind and client, and reads and writes by second.
pub struct CallCounters {
    state: Mutex<CounterState>,
}

struct CounterState {
    start: Instant,
    kinds: IndexMap<&'static str, u64>,
    clients: IndexMap<Box<str>, IndexMap<&'static str, u64>>,
    seconds: Vec<SecondCount>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct SecondCount {
    reads: u64,
    writes: u64,
}

impl Default for CallCounters {
    fn default() -> Self {
        Self { state: Mutex::new(CounterState::new()) }
    }
}

impl CallCounters {
    /// Counts one call, also if a fault prevents it from taking effect.
    pub fn record_call(&self, kind: StoreCallKind, client: &str) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).record_call(kind, client);
    }

    /// Sets all counts to zero and restarts the time.
    pub fn reset(&self) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = CounterState::new();
    }

    /// Returns the counts since the start or the last reset, in the JSON form of `GET /counters`.
    pub fn report(&self) -> Value {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let peak = |count: fn(&SecondCount) -> u64| state.seconds.iter().map(count).max();
        json!({
            "seconds": state.start.elapsed().as_secs_f64(),
            "total": state.kinds.values().sum::<u64>(),
            "kinds": state.kinds,
            "clients": state.clients,
            "peak_per_second": peak(|second| second.reads + second.writes).unwrap_or(0),
            "peak_reads_per_second": peak(|second| second.reads).unwrap_or(0),
            "peak_writes_per_second": peak(|second| second.writes).unwrap_or(0),
            "per_second": state.seconds,
        })
    }
}

impl CounterState {
    fn new() -> Self {
        Self {
            start: Instant::now(),
            kinds: IndexMap::new(),
            clients: IndexMap::new(),
            seconds: Vec::new(),
        }
    }

    fn record_call(&mut self, kind: StoreCallKind, client: &str) {
        *self.kinds.entry(kind.name()).or_default() += 1;
        let has_own_count = self.clients.len() < MAX_CLIENTS || self.clients.contains_key(client);
        let client = if has_own_count { client } else { OTHER_CLIENTS };
        if !self.clients.contains_key(client) {
            self.clients.insert(client.into(), IndexMap::new());
        }
        if let Some(kinds) = self.clients.get_mut(client) {
            *kinds.entry(kind.name()).or_default() += 1;
        }
        let second = (self.start.elapsed().as_secs() as usize).min(MAX_SECONDS - 1);
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCount::default());
        }
        match is_write(kind) {
            true => self.seconds[second].writes += 1,
            false => self.seconds[second].reads += 1,
        }
    }
}

fn is_write(kind: StoreCallKind) -> bool {
    matches!(kind, StoreCallKind::Put | StoreCallKind::Delete)
}
