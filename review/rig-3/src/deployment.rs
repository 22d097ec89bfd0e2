//! A small deployment: a store with a config, servers and hosts.

use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crate::host::Domains;
use crate::host::Host;
use crate::host::prepare_hosts;
use crate::server::Server;
use crate::server::Work;
use crate::store::Store;

/// Services with the slots of each of their servers, as on the sheet of `velorio-vivo`.
const SERVICES: [(&str, usize); 3] = [("memoriales", 6), ("reservas", 3), ("grabaciones", 6)];
const SERVERS_PER_SERVICE: usize = 12;
/// Failure domains of one region of the sheet, and of all three.
const ONE_REGION: [(&str, &str); 2] = [("heredia-a", "heredia"), ("heredia-b", "heredia")];
const ALL_REGIONS: [(&str, &str); 6] = [
    ("heredia-a", "heredia"),
    ("liberia-a", "liberia"),
    ("limon-a", "limon"),
    ("heredia-b", "heredia"),
    ("liberia-b", "liberia"),
    ("limon-b", "limon"),
];

/// Quota of the tenant; it has none if both are 0.
#[derive(Clone, Copy, Default)]
pub struct Quota {
    pub rate_per_s: u64,
    pub burst: u64,
}

pub struct Deployment {
    pub store: Arc<Store>,
    pub _servers: Vec<Arc<Server>>,
    pub hosts: Vec<Host>,
}

impl Deployment {
    /// Starts store, servers and hosts in one region. The files of the hosts go to `folder`.
    pub fn start(folder: &Path, hosts: usize, work: &Work) -> Result<Self, String> {
        Self::start_in(&ONE_REGION, folder, hosts, Quota::default(), work)
    }

    /// Starts store, servers and hosts in three regions, and waits for all of them.
    pub fn start_large(
        folder: &Path,
        hosts: usize,
        quota: Quota,
        work: &Work,
    ) -> Result<Self, String> {
        Self::start_in(&ALL_REGIONS, folder, hosts, quota, work)
    }

    fn start_in(
        domains: &Domains,
        folder: &Path,
        hosts: usize,
        quota: Quota,
        work: &Work,
    ) -> Result<Self, String> {
        let text = |error: std::io::Error| error.to_string();
        let store = Store::start(SocketAddr::from(([127, 0, 0, 1], 0))).map_err(text)?;
        store.put("config", "main", &config(quota));
        let mut servers = Vec::new();
        for (service, slots) in SERVICES {
            for place in 0..SERVERS_PER_SERVICE {
                let zone = domains[place % domains.len()].0;
                let number = servers.len() + 1;
                let server = Server::start(number, service, zone, slots, &store, Arc::clone(work));
                servers.push(server.map_err(text)?);
            }
        }
        let mut hosts = prepare_hosts(folder, hosts, domains, store.address)?;
        start_all(&mut hosts)?;
        Ok(Self { store, _servers: servers, hosts })
    }
}

/// Starts hosts and waits until all of them say that they are ready.
pub fn start_all(hosts: &mut [Host]) -> Result<(), String> {
    hosts.iter_mut().try_for_each(Host::spawn)?;
    hosts.iter().try_for_each(Host::wait_ready)
}

fn config(quota: Quota) -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, timeout: u32| {
        format!(
            "{{\"resource_kind\":\"routes\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"hostname\":\"velorio.example\",\"path_prefix\":\"{prefix}\",\"route_type\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":300,\"priority\":1,\
             \"backend_service\":\"{service}\",\"max_attempts\":2,\"public\":false,\
             \"session_affinity\":true,\"allowed_regions\":[]}}}}"
        )
    };
    let service = |name: &str| {
        format!(
            "{{\"resource_kind\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
             \"health_check_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\
             \"cold_start_s\":3.0,\"cold_per_s\":9.2}}}}"
        )
    };
    let mut resources = vec![
        route("r-pagina", "/pagina/", "idempotent", "memoriales", 2_000),
        route("r-pago", "/pago/", "non_idempotent", "reservas", 2_500),
        route("r-subida", "/subida/", "upload", "grabaciones", 2_000),
        route("r-archivo", "/archivo/", "idempotent", "grabaciones", 8_000),
    ];
    resources.extend(SERVICES.iter().map(|(name, _)| service(name)));
    let Quota { rate_per_s, burst } = quota;
    resources.push(format!(
        "{{\"resource_kind\":\"tenants\",\"metadata\":{{\"name\":\"parroquia\"}},\"spec\":{{\
         \"api_keys\":[\"clave-1\"],\"priority\":1,\"rate_per_s\":{rate_per_s},\"burst\":{burst},\
         \"allowed_regions\":[]}}}}"
    ));
    resources.push(
        "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
            .into(),
    );
    format!(
        "{{\"version\":\"0000000c\",\"base_version\":\"00000007\",\"resources\":[{}]}}",
        resources.join(",")
    )
}

/// Head of a client's request without the empty line at its end. Each call gives an attempt id of its own.
pub fn request_head(method: &str, path: &str, time_budget_ms: u32) -> (String, String) {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::SeqCst);
    let seed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let id = format!("{:016x}", (seed ^ number.wrapping_mul(0x9e37_79b9_7f4a_7c15)) | 1);
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: velorio.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline: {time_budget_ms}\r\nX-Credential: clave-1\r\n"
    );
    (id, head)
}

pub fn connect(host: &Host) -> std::io::Result<TcpStream> {
    let stream = TcpStream::connect(host.callers())?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
