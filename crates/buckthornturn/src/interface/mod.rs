//! Interfaces between the parts of a host. Each part depends on these traits and messages only, so that
//! tests put small fakes in place of the others.

mod admission_gate;
mod change_appender;
mod freshness_cell;
mod key_freshness;
mod object_store;
mod peer_caller;
mod peer_message;
mod plan_cell;
mod steer_source;
mod stream_dialer;
mod target_weights;

pub use coordination::heartbeat::HeardHeartbeat;
pub use coordination::heartbeat::Heartbeat;
pub use coordination::listed_host::ListedHost;
pub use coordination::member_view::MemberEntry;
pub use coordination::member_view::MemberHealth;
pub use coordination::member_view::MemberView;

pub use admission_gate::AdmissionGate;
pub use admission_gate::AdmissionPermit;
pub use admission_gate::AdmissionRefusal;
pub use admission_gate::AdmissionRequest;
pub use admission_gate::DispatchOutcome;
pub use admission_gate::PermitGuard;
pub use change_appender::AppendError;
pub use change_appender::AppendReceipt;
pub use change_appender::ChangeAppender;
pub use change_appender::ConfigChange;
pub use freshness_cell::FreshnessCell;
pub use key_freshness::KeyFreshness;
pub use object_store::MAX_VALUE_BYTES;
pub use object_store::ObjectStore;
pub use object_store::StoreError;
pub use object_store::StoredObject;
pub use object_store::WatchBatch;
pub use peer_caller::PeerCaller;
pub use peer_caller::PeerError;
pub use peer_caller::PeerHandler;
pub use peer_message::OutcomeEntry;
pub use peer_message::PeerReply;
pub use peer_message::PeerRequest;
pub use peer_message::SlotLease;
pub use peer_message::WireChange;
pub use plan_cell::PlanCell;
pub use plan_cell::PlanTable;
pub use steer_source::SteerLookup;
pub use steer_source::SteerSource;
pub use stream_dialer::StreamDialer;
pub use stream_dialer::TcpDialer;
pub use target_weights::TargetCandidate;
pub use target_weights::TargetWeights;
