//! A host's caller-facing service on a real listener, with fakes for targets, store and other hosts.

#![allow(dead_code, unused_imports, clippy::unwrap_used)]

mod fake_peers;
mod fake_store;
mod raw_caller;
mod scripted_target;
mod sent_request;
mod test_host;
mod wait_until;

pub use fake_peers::FakePeers;
pub use fake_store::FakeStore;
pub use fake_store::StoreMode;
pub use raw_caller::RawAnswer;
pub use raw_caller::exchange;
pub use raw_caller::request;
pub use scripted_target::ScriptedTarget;
pub use scripted_target::TargetStep;
pub use sent_request::stamp_line;
pub use test_host::KEY_AURORA;
pub use test_host::KEY_BOREAL;
pub use test_host::TestHost;
pub use test_host::TestHostOptions;
pub use wait_until::wait_until;
