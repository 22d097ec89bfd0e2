//! Handler for requests on the operators' listener.

use std::sync::Arc;
use std::time::SystemTime;

use bytes::Bytes;
use coordination::ids::HostId;
use coordination::ids::Revision;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use spdlog::info;
use spdlog::warn;

use crate::callers::key_hash;
use crate::configuration::ConfigObject;
use crate::configuration::ConfigProblem;
use crate::configuration::ConfigRules;
use crate::configuration::ConfigurationCell;
use crate::configuration::ConfigurationState;
use crate::configuration::DrainScope;
use crate::configuration::KeyRecord;
use crate::interface::AppendError;
use crate::interface::ChangeAppender;
use crate::interface::ConfigChange;
use crate::logging::ProcessLog;
use crate::operators::EffectAction;
use crate::operators::OperatorIdentity;
use crate::operators::RevisionCoverage;
use crate::operators::StatusReport;
use crate::operators::change_effects;
use crate::settings::LogLevel;
use crate::settings::OperatorRole;
use crate::settings::OperatorSettings;
use crate::steering::DrainChange;
use crate::steering::DrainRefusal;

/// Largest request body; a configuration file is sent as one body.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Handles requests of operators: authentication, validation and the changes themselves.
pub struct OperatorService {
    host: HostId,
    configuration: ConfigurationCell,
    appender: Arc<dyn ChangeAppender>,
    operators: Vec<OperatorSettings>,
    report: StatusReport,
}

#[derive(Deserialize)]
struct ApplyBody {
    changes: Vec<ConfigChange>,
    expected: Option<Revision>,
    #[serde(default)]
    dry_run: bool,
}

#[derive(Deserialize)]
struct LogLevelBody {
    level: LogLevel,
}

#[derive(Deserialize)]
struct DrainBody {
    scope: DrainScope,
    name: Box<str>,
    by_unix_ms: Option<u64>,
}

type ServiceResult = Result<(StatusCode, Value), ServiceFailure>;

/// Error answer to a request.
struct ServiceFailure {
    status: StatusCode,
    reason: Box<str>,
    problems: Vec<ConfigProblem>,
}

impl ServiceFailure {
    fn new(status: StatusCode, reason: impl Into<Box<str>>) -> Self {
        Self { status, reason: reason.into(), problems: Vec::new() }
    }
}

impl From<(StatusCode, Box<str>)> for ServiceFailure {
    fn from((status, reason): (StatusCode, Box<str>)) -> Self {
        Self::new(status, reason)
    }
}

impl OperatorService {
    /// Creates a service that appends changes through `appender` and accepts the tokens of `operators`.
    pub fn new(
        host: HostId,
        configuration: ConfigurationCell,
        appender: Arc<dyn ChangeAppender>,
        operators: Vec<OperatorSettings>,
        report: StatusReport,
    ) -> Self {
        Self { host, configuration, appender, operators, report }
    }

    /// Handles one request. An error is answered with a JSON object that holds the reason and the list of problems.
    pub async fn serve(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let (status, body) = match self.route(request).await {
            Ok(answer) => answer,
            Err(failure) => {
                let body = json!({ "error": failure.reason, "problems": failure.problems });
                (failure.status, body)
            }
        };
        let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
        *response.status_mut() = status;
        response
    }

    async fn route(&self, request: Request<Incoming>) -> ServiceResult {
        let Some(operator) = OperatorIdentity::authenticate(request.headers(), &self.operators)
        else {
            warn!("operator refused", kv: { reason = "token", path = request.uri().path() });
            let reason = "the operator's token is missing or unknown";
            return Err(ServiceFailure::new(StatusCode::UNAUTHORIZED, reason));
        };
        let method = request.method().clone();
        let path: Box<str> = request.uri().path().into();
        if method != Method::GET && operator.role < OperatorRole::Write {
            warn!("operator refused", kv: { reason = "role", operator: = operator.name, path: });
            return Err(ServiceFailure::new(StatusCode::FORBIDDEN, "this token may only read"));
        }
        info!("operator request", kv: { operator: = operator.name, method:, path: });
        match (method, &*path) {
            (Method::GET, "/v1/status") => Ok((StatusCode::OK, self.show_status())),
            (Method::GET, "/v1/configuration") => self.show_configuration(),
            (Method::POST, "/v1/apply") => self.apply_changes(request).await,
            (Method::POST, "/v1/keys") => self.grant_key(request).await,
            (Method::DELETE, path) if path.starts_with("/v1/keys/") => {
                self.withdraw_key(&path["/v1/keys/".len()..]).await
            }
            (Method::POST, "/v1/drains") => self.start_drain(request).await,
            (Method::POST, "/v1/undrains") => self.end_drain(request).await,
            (Method::PUT, "/v1/log-level") => self.set_log_level(request).await,
            _ => Err(ServiceFailure::new(StatusCode::NOT_FOUND, "no such path")),
        }
    }

    fn show_status(&self) -> Value {
        self.report.to_json(&self.host, &self.configuration.load())
    }

    fn show_configuration(&self) -> ServiceResult {
        let state = self.configuration.load();
        let value = serde_json::to_value(&*state).map_err(|error| {
            ServiceFailure::new(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
        })?;
        Ok((StatusCode::OK, value))
    }

    async fn apply_changes(&self, request: Request<Incoming>) -> ServiceResult {
        let body: ApplyBody = read_json(request).await?;
        let state = self.configuration.load();
        if let Some(expected) = body.expected.filter(|expected| *expected != state.revision) {
            let reason = format!("revision {} is in force here, not {expected}", state.revision);
            return Err(ServiceFailure::new(StatusCode::CONFLICT, reason));
        }
        reject_restricted_kinds(&body.changes)?;
        check_rules(&state, &body.changes)?;
        let effects = change_effects(&state, &body.changes);
        if body.dry_run {
            return Ok((StatusCode::OK, json!({ "revision": state.revision, "effects": effects })));
        }
        if effects.iter().all(|effect| effect.action == EffectAction::Keep) {
            let answer =
                json!({ "revision": state.revision, "unchanged": true, "effects": effects });
            return Ok((StatusCode::OK, answer));
        }
        let (status, mut receipt) = self.append_changes(body.changes, body.expected).await?;
        receipt["effects"] = json!(effects);
        Ok((status, receipt))
    }

    async fn set_log_level(&self, request: Request<Incoming>) -> ServiceResult {
        let body: LogLevelBody = read_json(request).await?;
        ProcessLog::set_level(body.level);
        Ok((StatusCode::OK, json!({ "host": self.host, "level": body.level })))
    }

    async fn grant_key(&self, request: Request<Incoming>) -> ServiceResult {
        let body: Value = read_json(request).await?;
        let customer: Box<str> = body["customer"].as_str().unwrap_or_default().into();
        if !self.configuration.load().customers.contains_key(&customer) {
            let reason = format!("there is no customer `{customer}`");
            return Err(ServiceFailure::new(StatusCode::NOT_FOUND, reason));
        }
        let id: Box<str> = format!("{:016x}", rand::random::<u64>()).into();
        let key = format!("bt_{id}_{:032x}", rand::random::<u128>());
        let record =
            KeyRecord { id: id.clone(), customer, sha256: key_hash(&key), withdrawn: false };
        let change = ConfigChange::Put { object: ConfigObject::Key(record) };
        let (status, receipt) = self.append_changes(vec![change], None).await?;
        Ok((status, json!({ "id": id, "key": key, "revision": receipt["revision"] })))
    }

    async fn withdraw_key(&self, id: &str) -> ServiceResult {
        let state = self.configuration.load();
        let record = state.keys.get(id).ok_or_else(|| {
            ServiceFailure::new(StatusCode::NOT_FOUND, format!("there is no key `{id}`"))
        })?;
        let record = KeyRecord { withdrawn: true, ..record.clone() };
        let change = ConfigChange::Put { object: ConfigObject::Key(record) };
        let (status, mut answer) = self.append_changes(vec![change], None).await?;
        if let Some(revision) = answer["revision"].as_u64() {
            let domains: Vec<_> = state.domains.keys().cloned().collect();
            let coverage =
                RevisionCoverage::wait_until_in_force(&self.report.peers, &domains, revision).await;
            answer["in_force"] = json!(coverage.in_force);
            answer["not_reached"] = json!(coverage.not_reached);
        }
        Ok((status, answer))
    }

    async fn start_drain(&self, request: Request<Incoming>) -> ServiceResult {
        let body: DrainBody = read_json(request).await?;
        let state = self.configuration.load();
        let start =
            DrainChange::start(&state, body.scope, &body.name, body.by_unix_ms, SystemTime::now());
        self.append_drain(start).await
    }

    async fn end_drain(&self, request: Request<Incoming>) -> ServiceResult {
        let body: DrainBody = read_json(request).await?;
        let state = self.configuration.load();
        let end = DrainChange::end(&state, body.scope, &body.name, SystemTime::now());
        self.append_drain(end).await
    }

    async fn append_drain(&self, change: Result<DrainChange, DrainRefusal>) -> ServiceResult {
        let change = change.map_err(|refusal| {
            let status = match refusal {
                DrainRefusal::Unknown { .. } | DrainRefusal::NotDrained { .. } => {
                    StatusCode::NOT_FOUND
                }
                DrainRefusal::TooLate { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            };
            ServiceFailure::new(status, refusal.to_string())
        })?;
        let (status, mut receipt) = self.append_changes(change.changes, None).await?;
        receipt["warnings"] = json!(change.warnings);
        Ok((status, receipt))
    }

    async fn append_changes(
        &self,
        changes: Vec<ConfigChange>,
        expected: Option<Revision>,
    ) -> ServiceResult {
        match self.appender.append(changes, expected).await {
            Ok(receipt) => Ok((
                StatusCode::OK,
                json!({ "revision": receipt.revision, "change_id": receipt.change_id }),
            )),
            Err(error) => {
                let status = match error {
                    AppendError::Raced { .. } => StatusCode::CONFLICT,
                    AppendError::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
                    AppendError::NotAccepted { .. } | AppendError::Unknown { .. } => {
                        StatusCode::SERVICE_UNAVAILABLE
                    }
                };
                Err(ServiceFailure::new(status, error.to_string()))
            }
        }
    }
}

/// Refuses changes of keys and drains, which are granted, withdrawn, started and ended by requests of their own.
fn reject_restricted_kinds(changes: &[ConfigChange]) -> Result<(), ServiceFailure> {
    for change in changes {
        let kind = match change {
            ConfigChange::Put { object } => object.kind(),
            ConfigChange::Remove { kind, .. } => kind,
        };
        if matches!(kind, "key" | "drain") {
            let reason = format!("a {kind} is not applied; it has a subcommand of its own");
            return Err(ServiceFailure::new(StatusCode::UNPROCESSABLE_ENTITY, reason));
        }
    }
    Ok(())
}

/// Refuses changes whose result breaks a rule between objects.
fn check_rules(state: &ConfigurationState, changes: &[ConfigChange]) -> Result<(), ServiceFailure> {
    let mut next = state.clone();
    for change in changes {
        match change {
            ConfigChange::Put { object } => next.put(object.clone()),
            ConfigChange::Remove { kind, name } => drop(next.remove(kind, name)),
        }
    }
    let problems = ConfigRules::check(&next);
    match problems.is_empty() {
        true => Ok(()),
        false => Err(ServiceFailure {
            status: StatusCode::UNPROCESSABLE_ENTITY,
            reason: format!("{} problems; nothing was applied", problems.len()).into(),
            problems,
        }),
    }
}

async fn read_json<T: for<'a> Deserialize<'a>>(
    request: Request<Incoming>,
) -> Result<T, (StatusCode, Box<str>)> {
    let body = Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string().into()))?;
    serde_json::from_slice(&body.to_bytes())
        .map_err(|error| (StatusCode::BAD_REQUEST, error.to_string().into()))
}
