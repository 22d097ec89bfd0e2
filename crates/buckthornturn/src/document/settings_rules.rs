//! Field rules for settings files of hosts.

use crate::document::field_rule::FieldKind;
use crate::document::field_rule::FieldRule;
use crate::document::field_rule::optional;
use crate::document::field_rule::required;

const MAX_COUNT: u64 = 1_000_000;
const MAX_MILLISECONDS: u64 = 24 * 3_600_000;
const MAX_SECONDS: u64 = 24 * 3_600;
const MAX_BYTES: u64 = 1 << 32;

/// Rules for the top-level fields of a settings file.
pub(crate) const SETTINGS_RULES: &[FieldRule] = &[
    required("host", FieldKind::Name),
    required("failure_domain", FieldKind::Name),
    required("region", FieldKind::Name),
    required("listeners", FieldKind::Object(LISTENERS)),
    required("store", FieldKind::Object(STORE)),
    optional("seeds", FieldKind::Addresses),
    optional("operators", FieldKind::Objects { min: 0, rules: OPERATOR }),
    optional("tls", FieldKind::Object(TLS)),
    optional("log", FieldKind::Object(LOG)),
    optional("metrics", FieldKind::Object(METRICS)),
    optional("caller_bounds", FieldKind::Object(CALLER_BOUNDS)),
    optional("shutdown_seconds", FieldKind::Integer(0, MAX_SECONDS)),
];

const LISTENERS: &[FieldRule] = &[
    required("callers", FieldKind::Address),
    required("operators", FieldKind::Address),
    required("mesh", FieldKind::Address),
];

const STORE: &[FieldRule] = &[
    required("address", FieldKind::Address),
    optional("timeout_ms", FieldKind::Integer(1, MAX_MILLISECONDS)),
];

const OPERATOR: &[FieldRule] = &[
    required("name", FieldKind::Name),
    required("role", FieldKind::Choice(&["read", "write"])),
    required("token_sha256", FieldKind::Sha256),
];

const TLS: &[FieldRule] = &[
    optional("callers", FieldKind::Object(SERVER_TLS)),
    optional("operators", FieldKind::Object(SERVER_TLS)),
    optional("mesh", FieldKind::Object(MESH_TLS)),
    optional("reload_seconds", FieldKind::Integer(1, MAX_SECONDS)),
];

const SERVER_TLS: &[FieldRule] =
    &[required("certificate", FieldKind::Name), required("key", FieldKind::Name)];

const MESH_TLS: &[FieldRule] = &[
    required("certificate", FieldKind::Name),
    required("key", FieldKind::Name),
    required("authority", FieldKind::Name),
];

const LOG: &[FieldRule] = &[
    optional("level", FieldKind::Choice(&["error", "warn", "info", "debug", "trace"])),
    optional("format", FieldKind::Choice(&["key_value", "json"])),
];

const METRICS: &[FieldRule] = &[required("statsd", FieldKind::Address)];

const CALLER_BOUNDS: &[FieldRule] = &[
    optional("max_connections", FieldKind::Integer(1, MAX_COUNT)),
    optional("max_connections_per_address", FieldKind::Integer(1, MAX_COUNT)),
    optional("max_streams_per_connection", FieldKind::Integer(1, MAX_COUNT)),
    optional("max_head_bytes", FieldKind::Integer(8_192, 16 << 20)),
    optional("max_headers", FieldKind::Integer(1, MAX_COUNT)),
    optional("head_timeout_ms", FieldKind::Integer(1, MAX_MILLISECONDS)),
    optional("body_idle_ms", FieldKind::Integer(1, MAX_MILLISECONDS)),
    optional("answer_idle_ms", FieldKind::Integer(1, MAX_MILLISECONDS)),
    optional("max_forwards", FieldKind::Integer(0, MAX_COUNT)),
    optional("ticket_life_seconds", FieldKind::Integer(1, MAX_SECONDS)),
    optional("max_outcomes", FieldKind::Integer(4, 1 << 24)),
    optional("max_outcome_bytes", FieldKind::Integer(0, MAX_BYTES)),
];
