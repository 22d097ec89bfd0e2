//! Entry hosts on a platform whose store holds what lasts: each host decides alone from what the store and the other hosts
//! tell it.

mod attempt_guard;
mod attempt_runner;
mod change_history;
mod entry_configuration;
mod entry_metrics;
mod entry_process;
mod entry_state;
mod front_service;
mod gossip_loop;
mod guarded_dialer;
mod held_body;
mod look_up;
mod peer_reader;
mod request_facts;
mod settings_watch;
mod state_follower;

pub use attempt_guard::AttemptGuard;
pub use attempt_runner::AttemptResult;
pub use attempt_runner::AttemptRunner;
pub use attempt_runner::EntryJob;
pub use change_history::ChangeHistory;
pub use entry_configuration::EntryConfiguration;
pub use entry_configuration::EntryCustomer;
pub use entry_configuration::EntryLimits;
pub use entry_configuration::EntryRoute;
pub use entry_configuration::EntryService;
pub use entry_configuration::ServiceWeight;
pub use entry_metrics::EntryMetrics;
pub use entry_metrics::RequestCount;
pub use entry_process::EntryParts;
pub use entry_process::EntryProcess;
pub use entry_state::EntryIdentity;
pub use entry_state::EntryState;
pub use entry_state::HostPlace;
pub use front_service::FrontService;
pub use gossip_loop::GossipLoop;
pub use guarded_dialer::GuardedDialer;
pub use look_up::hosts_for;
pub use look_up::look_up_life;
pub use peer_reader::PeerReader;
pub use peer_reader::answer_peer;
pub use request_facts::RequestFacts;
pub use settings_watch::SettingsWatch;
pub use state_follower::StateFollower;
