//! One host's callers' side on real listeners, with fakes for everything behind it.

#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod caller_bench;
mod fake_peers;
mod fake_store;
mod patience;
mod raw_caller;
mod scripted_target;

pub use caller_bench::BenchOptions;
pub use caller_bench::CallerBench;
pub use caller_bench::KEY_AURORA;
pub use caller_bench::KEY_BOREAL;
pub use fake_peers::FakePeers;
pub use fake_store::FakeStore;
pub use fake_store::StoreMode;
pub use patience::eventually;
pub use raw_caller::RawAnswer;
pub use raw_caller::exchange;
pub use raw_caller::request;
pub use scripted_target::ScriptedTarget;
pub use scripted_target::TargetStep;
