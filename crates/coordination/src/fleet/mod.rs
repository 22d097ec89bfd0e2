//! Parts of an entry host that decides alone: the roster of hosts, shares of customers' rates, and placement of requests
//! on targets under overload.

mod board_view;
mod customer_share;
mod fault_estimate;
mod host_news;
mod host_roster;
mod placement_ask;
mod placement_candidate;
mod quota_keepers;
mod quota_ledger;
mod route_split;
mod service_record;
mod service_times;
mod spill_band;
mod target_board;
mod target_entry;
mod target_load;
mod warm_keys;

pub use customer_share::share_of_limit;
pub use fault_estimate::FaultEstimate;
pub use host_news::HostNews;
pub use host_news::HostPhase;
pub use host_roster::HostRoster;
pub use host_roster::LISTED_FOR;
pub use placement_ask::PlacementAsk;
pub use placement_ask::PlacementChoice;
pub use placement_ask::PlacementRefusal;
pub use quota_keepers::KeeperHost;
pub use quota_keepers::QuotaKeepers;
pub use quota_ledger::CustomerLimit;
pub use quota_ledger::QuotaDecision;
pub use quota_ledger::QuotaLedger;
pub use quota_ledger::QuotaView;
pub use quota_ledger::TokenGrant;
pub use route_split::RouteSplit;
pub use service_times::ServiceTimes;
pub use spill_band::SpillBand;
pub use target_board::BoardHost;
pub use target_board::EntryChange;
pub use target_board::TargetBoard;
pub use target_entry::TargetEntry;
pub use target_entry::TargetState;
pub use target_load::AttemptEnd;
pub use target_load::TargetLoad;
pub use target_load::TargetTrack;
pub use warm_keys::WarmKeys;
