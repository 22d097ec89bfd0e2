//! The mix of requests that the callers of each example deployment send.

use buckthornturn::configuration::ConfigObject;
use buckthornturn::configuration::CustomerSpec;
use indexmap::IndexMap;

use crate::deployment::DeploymentError;
use crate::deployment::DeploymentKind;
use crate::deployment::FleetDeployment;
use crate::load::CustomerLoad;
use crate::load::LoadPlan;
use crate::load::RequestTemplate;

const REQUEST_TIMEOUT_MS: u64 = 30_000;
const MAX_REQUESTS_PER_CUSTOMER: usize = 200_000;
const MAX_IN_FLIGHT_PER_CUSTOMER: usize = 512;
const UPLOAD_BYTES: u64 = 128 * 1024;
const MAX_MIXED_BYTES: u64 = 360_000;
const MIXED_UPLOAD_WEIGHT: f64 = 2.0;
const PAYMENT_BYTES: u64 = 300;
const BODY_PAUSE_MS: u64 = 5;

impl FleetDeployment {
    /// Grants every customer a key and returns a plan in which each sends `rate_share` of its configured rate for
    /// `seconds`, together with the identifiers of the keys by customer.
    ///
    /// # Errors
    ///
    /// Fails if a key is not granted or does not take effect on every host in time.
    pub async fn standard_load(
        &self,
        kind: DeploymentKind,
        seconds: f64,
        rate_share: f64,
        seed: u64,
    ) -> Result<(LoadPlan, IndexMap<Box<str>, Box<str>>), DeploymentError> {
        let mut customers = Vec::new();
        let mut key_ids = IndexMap::new();
        let mut revision = 0;
        let specs: Vec<&CustomerSpec> = self
            .objects
            .iter()
            .filter_map(|object| match object {
                ConfigObject::Customer(spec) => Some(spec),
                _ => None,
            })
            .collect();
        for spec in specs {
            let granted = self.grant_key(&spec.name).await?;
            key_ids.insert(spec.name.clone(), granted.id);
            revision = granted.revision;
            customers.push(CustomerLoad {
                customer: spec.name.clone(),
                key: granted.key,
                requests_per_second: spec.rate_per_second * rate_share,
                rate_per_second: spec.rate_per_second,
                burst: spec.burst,
                services: spec.services.clone(),
                surges: Vec::new(),
            });
        }
        self.wait_in_force(revision).await?;
        let plan = LoadPlan {
            entry_hosts: self.hosts.values().map(|host| host.callers).collect(),
            targets: self.targets.values().map(|target| target.address).collect(),
            seconds,
            seed,
            timeout_ms: REQUEST_TIMEOUT_MS,
            max_requests_per_customer: MAX_REQUESTS_PER_CUSTOMER,
            max_in_flight_per_customer: MAX_IN_FLIGHT_PER_CUSTOMER,
            requests: request_templates(kind),
            customers,
        };
        Ok((plan, key_ids))
    }
}

fn request_templates(kind: DeploymentKind) -> Vec<RequestTemplate> {
    match kind {
        DeploymentKind::Heredia => vec![
            RequestTemplate {
                open: true,
                ..read_template("page", "memorial", "/pages/today", 3.0)
            },
            read_template("live", "memorial", "/live/now", 4.0),
            payment_template("condolence", "payments", "/condolences", 1.0),
            payment_template("booking", "payments", "/bookings", 0.5),
            read_template("receipt", "payments", "/receipts/17", 1.0),
            download_template("recording", "archive", "/recordings/bytes/262144", 0.25),
            upload_template("chapel-upload", "archive", "/uploads/chapel", 0.25),
        ]
        .into_iter()
        .map(|template| with_host_name(template, "heredia"))
        .collect(),
        DeploymentKind::ShresthaSunar => vec![
            RequestTemplate { open: true, ..read_template("rate", "rates", "/rate", 4.0) },
            read_template("receipt", "rates", "/receipts/17", 3.0),
            payment_template("purchase", "purchases", "/purchases", 1.0),
            payment_template("payment", "purchases", "/payments", 0.5),
            read_template("state", "purchases", "/state/17", 1.0),
            upload_template("hallmark", "assays", "/uploads/hallmark", 0.25),
            download_template("sheet", "assays", "/sheets/bytes/262144", 0.25),
        ]
        .into_iter()
        .map(|template| with_host_name(template, "shrestha"))
        .collect(),
    }
}

fn with_host_name(template: RequestTemplate, suffix: &str) -> RequestTemplate {
    let host = format!("{}.{suffix}.example", template.service).into();
    RequestTemplate { host, ..template }
}

fn read_template(name: &str, service: &str, path: &str, weight: f64) -> RequestTemplate {
    RequestTemplate {
        name: name.into(),
        service: service.into(),
        host: "".into(),
        method: "GET".into(),
        path: path.into(),
        body_bytes: 0,
        body_pause_ms: 0,
        mixed: false,
        once: false,
        open: false,
        bulk: false,
        weight,
    }
}

fn payment_template(name: &str, service: &str, path: &str, weight: f64) -> RequestTemplate {
    let method = "POST".into();
    let body_bytes = PAYMENT_BYTES;
    RequestTemplate { method, body_bytes, once: true, ..read_template(name, service, path, weight) }
}

fn upload_template(name: &str, service: &str, path: &str, weight: f64) -> RequestTemplate {
    RequestTemplate {
        method: "PUT".into(),
        body_bytes: UPLOAD_BYTES,
        body_pause_ms: BODY_PAUSE_MS,
        bulk: true,
        ..read_template(name, service, path, weight)
    }
}

/// Uploads of many lengths that are sent in several ways, to the service that takes the uploads of an example.
pub fn mixed_upload_template(kind: DeploymentKind) -> RequestTemplate {
    let (service, path, suffix) = match kind {
        DeploymentKind::Heredia => ("archive", "/uploads/mixed?part=1", "heredia"),
        DeploymentKind::ShresthaSunar => ("assays", "/uploads/mixed?part=1", "shrestha"),
    };
    let template = upload_template("mixed-upload", service, path, MIXED_UPLOAD_WEIGHT);
    let template = RequestTemplate { mixed: true, body_bytes: MAX_MIXED_BYTES, ..template };
    with_host_name(template, suffix)
}

fn download_template(name: &str, service: &str, path: &str, weight: f64) -> RequestTemplate {
    let path = format!("{path}?pause_ms={BODY_PAUSE_MS}");
    RequestTemplate { bulk: true, ..read_template(name, service, &path, weight) }
}
