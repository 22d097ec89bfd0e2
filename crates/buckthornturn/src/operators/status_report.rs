//! Status of a host as shown to operators.

use std::sync::Arc;
use std::time::Instant;
use std::time::SystemTime;

use coordination::member_view::MemberEntry;
use coordination::member_view::MemberHealth;
use serde_json::Value;
use serde_json::json;

use crate::admission::BudgetGate;
use crate::configuration::ConfigurationState;
use crate::interface::FreshnessCell;
use crate::interface::PeerCaller;
use crate::interface::PlanCell;
use crate::steering::drain_statuses;

/// Sources of the status that a host shows to operators.
pub struct StatusReport {
    /// Calls to other hosts; lists the members that this host knows.
    pub peers: Arc<dyn PeerCaller>,
    /// Floor plans that this host knows.
    pub plans: PlanCell,
    /// Latest confirmation that this host has all accepted changes of keys.
    pub freshness: FreshnessCell,
    /// Admission gate, which holds the budgets of this host.
    pub gate: Arc<BudgetGate>,
}

impl StatusReport {
    /// Current status as a JSON object. The field names are part of the interface to operators.
    pub fn to_json(&self, host: &str, state: &ConfigurationState) -> Value {
        let freshness = self.freshness.freshness(Instant::now());
        let view = self.peers.members();
        let members: Vec<_> = view.members.iter().map(member_json).collect();
        json!({
            "host": host,
            "revision": state.revision,
            "confirmation": {
                "age_ms": freshness.age.map(|age| age.as_millis() as u64),
                "source": freshness.source,
            },
            "members": members,
            "plans": *self.plans.load(),
            "budgets": self.gate.report(),
            "drains": drain_statuses(state, SystemTime::now()),
        })
    }
}

fn member_json(member: &MemberEntry) -> Value {
    json!({
        "host": member.host,
        "failure_domain": member.failure_domain,
        "region": member.region,
        "health": health_name(member.health),
        "revision": member.revision,
        "heard_ms_ago": member.heard_ago.map(|ago| ago.as_millis() as u64),
        "confirmation_age_ms": member.confirmation_age.map(|age| age.as_millis() as u64),
        "store_reached": member.store_reached,
        "callers": member.callers,
        "mesh": member.mesh,
    })
}

fn health_name(health: MemberHealth) -> &'static str {
    match health {
        MemberHealth::Live => "live",
        MemberHealth::Suspect => "suspect",
        MemberHealth::Leaving => "leaving",
        MemberHealth::Gone => "gone",
    }
}
