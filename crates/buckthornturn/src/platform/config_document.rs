//! Decodes the operator's configuration document, as the platform's store holds it.

use std::time::Duration;

use coordination::fleet::CustomerLimit;
use coordination::ids::ConfigurationNumber;
use indexmap::IndexMap;
use serde::Deserialize;
use serde_json::Value;
use spdlog::warn;

use super::whole_number::optional_whole_number;
use super::whole_number::whole_number;
use crate::callers::key_hash;
use crate::entry::EntryConfiguration;
use crate::entry::EntryCustomer;
use crate::entry::EntryLimits;
use crate::entry::EntryRoute;
use crate::entry::EntryService;
use crate::entry::ServiceWeight;

/// Maximum number of targets that one attempt of a caller may be sent to, for routes without `max_attempts`.
const DEFAULT_MAX_ATTEMPTS: u32 = 1;
/// Maximum time that a caller waits for an answer, for routes without `timeout_ms`.
const DEFAULT_TIMEOUT_MS: u64 = 10_000;
/// Maximum request body size when `limits` has no `max_body_bytes`. Matches the platform's own example.
const DEFAULT_MAX_BODY_BYTES: u64 = 64 << 20;
/// Connection idle timeout when `limits` has no `idle_timeout_ms`. Matches the platform's own example.
const DEFAULT_IDLE_TIMEOUT_MS: u64 = 15_000;

#[derive(Deserialize)]
struct Document {
    version: Box<str>,
    resources: Vec<Resource>,
}

#[derive(Deserialize)]
struct Resource {
    /// Kind of the resource, in the plural: `routes`, `services`, `tenants` or `limits`. Other kinds are skipped.
    resource_kind: Box<str>,
    #[serde(default)]
    metadata: Metadata,
    #[serde(default)]
    spec: Value,
}

#[derive(Default, Deserialize)]
struct Metadata {
    #[serde(default)]
    name: Box<str>,
}

#[derive(Deserialize)]
struct RouteBody {
    hostname: Box<str>,
    path_prefix: Box<str>,
    /// A request may run more than once only if this is `idempotent`; every other value forbids it.
    route_type: Box<str>,
    #[serde(default, deserialize_with = "optional_whole_number")]
    timeout_ms: Option<u64>,
    /// Latency objective, measured from the arrival of the request; the route's timeout if it is absent.
    #[serde(default, deserialize_with = "optional_whole_number")]
    target_latency_ms: Option<u64>,
    #[serde(default, deserialize_with = "whole_number")]
    priority: u32,
    #[serde(default)]
    backend_service: Option<Box<str>>,
    #[serde(default)]
    traffic_split: Vec<SplitBody>,
    #[serde(default, deserialize_with = "optional_whole_number")]
    max_attempts: Option<u32>,
    #[serde(default)]
    public: bool,
    /// Whether requests for an object prefer the targets that recently handled that object.
    #[serde(default)]
    session_affinity: bool,
    #[serde(default)]
    allowed_regions: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct SplitBody {
    backend_service: Box<str>,
    weight: f64,
}

#[derive(Deserialize)]
struct ServiceBody {
    #[serde(default)]
    cold_start_s: f64,
    #[serde(default)]
    cold_per_s: f64,
}

#[derive(Deserialize)]
struct CustomerBody {
    #[serde(default)]
    api_keys: Vec<Box<str>>,
    #[serde(default, deserialize_with = "optional_whole_number")]
    priority: Option<u32>,
    #[serde(default)]
    rate_per_s: f64,
    #[serde(default)]
    burst: f64,
    #[serde(default)]
    allowed_regions: Vec<Box<str>>,
}

#[derive(Deserialize)]
struct LimitsBody {
    #[serde(default, deserialize_with = "optional_whole_number")]
    max_body_bytes: Option<u64>,
    #[serde(default, deserialize_with = "optional_whole_number")]
    idle_timeout_ms: Option<u64>,
    #[serde(default)]
    max_header_bytes: Option<u64>,
    #[serde(default)]
    header_timeout_ms: Option<u64>,
}

/// Number of a version, which operators write in hexadecimal; 0 for one that is none.
fn parse_number(version: &str) -> ConfigurationNumber {
    let number = ConfigurationNumber::from_str_radix(version, 16);
    number.unwrap_or_else(|_| {
        warn!("the version of the configuration is no number", kv: { version: });
        0
    })
}

/// Decodes the operator's configuration document. Resources of unknown kinds are logged and skipped.
///
/// # Errors
///
/// Returns the name of the resource that cannot be decoded, the path of the field and the reason.
pub fn decode_configuration(document: &Value) -> Result<EntryConfiguration, Box<str>> {
    let document: Document = decode_value(document, "configuration")?;
    let mut routes = Vec::new();
    let mut configuration = EntryConfiguration {
        number: parse_number(&document.version),
        version: document.version,
        routes: IndexMap::new(),
        services: IndexMap::new(),
        customers: IndexMap::new(),
        keys: IndexMap::new(),
        limits: EntryLimits {
            max_body_bytes: DEFAULT_MAX_BODY_BYTES,
            idle_timeout: Duration::from_millis(DEFAULT_IDLE_TIMEOUT_MS),
            max_head_bytes: 0,
            head_timeout: Duration::ZERO,
        },
    };
    for resource in &document.resources {
        let name = &resource.metadata.name;
        match &*resource.resource_kind {
            "routes" => routes.push(decode_route(name, decode_value(&resource.spec, name)?)?),
            "services" => {
                let body: ServiceBody = decode_value(&resource.spec, name)?;
                configuration.services.insert(name.clone(), decode_service(&body));
            }
            "tenants" => {
                let body: CustomerBody = decode_value(&resource.spec, name)?;
                for key in &body.api_keys {
                    configuration.keys.insert(key_hash(key), name.clone());
                }
                configuration.customers.insert(name.clone(), decode_customer(body));
            }
            "limits" => {
                let body: LimitsBody = decode_value(&resource.spec, "limits")?;
                configuration.limits = decode_limits(&body);
            }
            kind => {
                warn!("skipping a configuration resource of an unknown kind", kv: { kind:, name: })
            }
        }
    }
    configuration.routes = EntryConfiguration::group_routes(routes);
    Ok(configuration)
}

fn decode_route(name: &str, body: RouteBody) -> Result<EntryRoute, Box<str>> {
    let split = body.traffic_split.into_iter();
    let mut services: Vec<ServiceWeight> = split
        .map(|part| ServiceWeight { service: part.backend_service, weight: part.weight })
        .collect();
    if let (true, Some(service)) = (services.is_empty(), body.backend_service) {
        services.push(ServiceWeight { service, weight: 1.0 });
    }
    if services.is_empty() {
        return Err(format!("{name}: the route names no service").into());
    }
    let timeout_ms = body.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS);
    Ok(EntryRoute {
        name: name.into(),
        host: body.hostname.to_ascii_lowercase().into(),
        path_prefix: body.path_prefix,
        services,
        is_repeatable: &*body.route_type == "idempotent",
        is_open: body.public,
        keeps_objects: body.session_affinity,
        max_attempts: body.max_attempts.unwrap_or(DEFAULT_MAX_ATTEMPTS),
        timeout: Duration::from_millis(timeout_ms),
        objective: Duration::from_millis(body.target_latency_ms.unwrap_or(timeout_ms)),
        priority: body.priority,
        regions: body.allowed_regions,
    })
}

fn decode_service(body: &ServiceBody) -> EntryService {
    let cold_time = Duration::try_from_secs_f64(body.cold_start_s).unwrap_or_default();
    EntryService { cold_time, cold_rate: body.cold_per_s }
}

fn decode_customer(body: CustomerBody) -> EntryCustomer {
    EntryCustomer {
        limit: CustomerLimit { rate: body.rate_per_s, burst: body.burst },
        priority: body.priority,
        regions: body.allowed_regions,
    }
}

fn decode_limits(body: &LimitsBody) -> EntryLimits {
    EntryLimits {
        max_body_bytes: body.max_body_bytes.unwrap_or(DEFAULT_MAX_BODY_BYTES),
        idle_timeout: Duration::from_millis(
            body.idle_timeout_ms.unwrap_or(DEFAULT_IDLE_TIMEOUT_MS),
        ),
        max_head_bytes: body.max_header_bytes.unwrap_or_default(),
        head_timeout: Duration::from_millis(body.header_timeout_ms.unwrap_or_default()),
    }
}

/// Deserializes a value; the error text starts with `label` and the path of the field.
fn decode_value<'a, T: Deserialize<'a>>(value: &'a Value, label: &str) -> Result<T, Box<str>> {
    serde_path_to_error::deserialize(value)
        .map_err(|error| format!("{label}: {}: {}", error.path(), error.inner()).into())
}
