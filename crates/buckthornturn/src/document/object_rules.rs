//! Field rules for the objects of a configuration file.

use crate::document::field_rule::FieldKind;
use crate::document::field_rule::FieldRule;
use crate::document::field_rule::optional;
use crate::document::field_rule::required;

const MAX_RATE_PER_SECOND: f64 = 1e9;
const MAX_MILLISECONDS: u64 = 24 * 3_600_000;
const MAX_SECONDS: u64 = 24 * 3_600;
const MAX_SLOTS: u64 = 1_000_000;
const MAX_BYTES: u64 = 1 << 50;

/// Kinds of objects that a file may contain, in the order in which messages list them.
pub(crate) const FILE_KINDS: [&str; 9] =
    ["domain", "service", "target", "profile", "assignment", "customer", "link", "group", "block"];

/// Returns the rules for the fields of a kind, including `kind` itself; `None` if files may not contain the kind.
pub(crate) fn rules_for_kind(kind: &str) -> Option<&'static [FieldRule]> {
    match kind {
        "domain" => Some(DOMAIN),
        "service" => Some(SERVICE),
        "target" => Some(TARGET),
        "profile" => Some(PROFILE),
        "assignment" => Some(ASSIGNMENT),
        "customer" => Some(CUSTOMER),
        "link" => Some(LINK),
        "group" => Some(GROUP),
        "block" => Some(BLOCK),
        _ => None,
    }
}

/// Rules for the fields of an entry of `remove`.
pub(crate) const REMOVAL_RULES: &[FieldRule] =
    &[required("kind", FieldKind::Choice(&FILE_KINDS)), required("name", FieldKind::Name)];

const KIND: FieldRule = required("kind", FieldKind::Choice(&FILE_KINDS));
const NAME: FieldRule = required("name", FieldKind::Name);

const DOMAIN: &[FieldRule] = &[KIND, NAME, required("region", FieldKind::Name)];

const SERVICE: &[FieldRule] = &[
    KIND,
    NAME,
    required("hosts", FieldKind::Names { min: 1 }),
    required("routes", FieldKind::Objects { min: 1, rules: ROUTE }),
];

const ROUTE: &[FieldRule] = &[
    NAME,
    required("path_prefix", FieldKind::Path),
    optional("open", FieldKind::Boolean),
    optional("repeatable", FieldKind::Boolean),
    optional("priority", FieldKind::Choice(&["urgent", "normal", "archive"])),
    optional("deadline_ms", FieldKind::Integer(1, MAX_MILLISECONDS)),
    optional("max_body_bytes", FieldKind::Integer(0, MAX_BYTES)),
];

const TARGET: &[FieldRule] = &[
    KIND,
    NAME,
    required("service", FieldKind::Name),
    required("failure_domain", FieldKind::Name),
    required("address", FieldKind::Address),
    required("slots", FieldKind::Integer(1, MAX_SLOTS)),
    optional("health_path", FieldKind::Path),
    optional("warm_up_seconds", FieldKind::Integer(0, MAX_SECONDS)),
];

const PROFILE: &[FieldRule] = &[
    KIND,
    NAME,
    optional("shift_cap_percent_per_minute", FieldKind::Number(0.0, 6_000.0)),
    optional("max_utilization_percent", FieldKind::Number(0.0, 100.0)),
    optional("retry_budget_percent", FieldKind::Integer(0, 100)),
    optional("queue", FieldKind::Object(QUEUE)),
    optional("stale_keys", FieldKind::Object(STALE_KEYS)),
    optional("schedule", FieldKind::Objects { min: 0, rules: SCHEDULED_DRAIN }),
    optional("bytes_per_token", FieldKind::Integer(0, MAX_BYTES)),
];

const QUEUE: &[FieldRule] = &[
    optional("max_wait_ms", FieldKind::Integer(0, MAX_MILLISECONDS)),
    optional("max_waiting_per_customer", FieldKind::Integer(0, 1_000_000)),
];

const STALE_KEYS: &[FieldRule] = &[
    optional("after_ms", FieldKind::Integer(500, MAX_MILLISECONDS)),
    optional("repeatable", FieldKind::Choice(&["serve", "refuse"])),
    optional("non_repeatable", FieldKind::Choice(&["serve", "refuse"])),
];

const SCHEDULED_DRAIN: &[FieldRule] = &[
    required("scope", FieldKind::Choice(&["target", "domain", "region"])),
    NAME,
    required("start", FieldKind::Timestamp),
    required("by", FieldKind::Timestamp),
];

const ASSIGNMENT: &[FieldRule] =
    &[KIND, NAME, required("service", FieldKind::Name), required("profile", FieldKind::Name)];

const CUSTOMER: &[FieldRule] = &[
    KIND,
    NAME,
    required("rate_per_second", FieldKind::Number(0.0, MAX_RATE_PER_SECOND)),
    required("burst", FieldKind::Number(0.0, MAX_RATE_PER_SECOND)),
    optional("weight", FieldKind::Integer(1, 1_000_000)),
    required("services", FieldKind::Names { min: 1 }),
];

const LINK: &[FieldRule] = &[
    KIND,
    NAME,
    required("from", FieldKind::Name),
    required("to", FieldKind::Name),
    required("bytes_per_second", FieldKind::Integer(1, MAX_BYTES)),
    required("latency_ms", FieldKind::Integer(0, 60_000)),
];

const GROUP: &[FieldRule] = &[KIND, NAME, required("regions", FieldKind::Names { min: 1 })];

const BLOCK: &[FieldRule] =
    &[KIND, required("name", FieldKind::Block), required("group", FieldKind::Name)];
