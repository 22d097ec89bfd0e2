//! Plays one case against hosts of the system: `rig CASE ROOT FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.

mod client;
mod deployment;
mod http;
mod pipelined_gone;
mod pipelined_term;
mod proxy;
mod record;
mod removed_after_cut;
mod server;
mod slow_upload_term;
mod socket;
mod store;
mod unreadable_entry;

use std::fs;
use std::net::SocketAddr;
use std::panic;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use deployment::end_processes;
use deployment::Host;
use deployment::Network;
use record::Record;
use store::Store;

/// Longest time that a case may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// What a case plays with.
pub struct Stage {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub network: Network,
    pub store: Store,
    pub record: Arc<Record>,
    /// Whether the disruption is played.
    pub has_trouble: bool,
}

impl Stage {
    /// Writes the config: three routes, each to a service of its own, and a tenant without a limit.
    fn put_config(&self) {
        let route = |name: &str, kind: &str, service: &str, timeout_ms: u32| {
            format!(
                "{{\"resource_kind\":\"routes\",\"metadata\":{{\"name\":\"r-{name}\"}},\"spec\":{{\"hostname\":\"{}\",\
                 \"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\"timeout_ms\":{timeout_ms},\
                 \"target_latency_ms\":1000,\"priority\":1,\"backend_service\":\"{service}\",\"max_attempts\":2,\
                 \"public\":false,\"session_affinity\":false,\"allowed_regions\":[]}}}}",
                client::HOST_NAME
            )
        };
        let service = |name: &str| {
            format!(
                "{{\"resource_kind\":\"services\",\"metadata\":{{\"name\":\"{name}\"}},\"spec\":{{\
                 \"health_check_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\
                 \"cold_start_s\":3.0,\"cold_per_s\":9.2}}}}"
            )
        };
        let resources = [
            route("archive", "idempotent", "records", 8_000),
            route("orders", "non_idempotent", "ledger", 2_500),
            route("uploads", "upload", "files", 5_000),
            service("records"),
            service("ledger"),
            service("files"),
            format!(
                "{{\"resource_kind\":\"tenants\",\"metadata\":{{\"name\":\"sese880\"}},\"spec\":{{\"api_keys\":[\"{}\"],\
                 \"priority\":1,\"rate_per_s\":0,\"burst\":0,\"allowed_regions\":[]}}}}",
                client::KEY
            ),
            "{\"resource_kind\":\"limits\",\"metadata\":{},\"spec\":{\"max_header_bytes\":16384,\
             \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}"
                .to_owned(),
        ];
        let config = format!("{{\"version\":\"00000007\",\"resources\":[{}]}}", resources.join(","));
        self.store.put("config", "main", config.as_bytes());
    }

    /// Starts hosts, each in a zone of its own, and waits until all are ready.
    pub fn start_hosts(&self, count: u8) -> Vec<Host> {
        self.start_hosts_at(count, self.network.store(), None)
    }

    /// Starts hosts of one zone that reach the store at an address, and waits until all are ready.
    pub fn start_hosts_of_zone(&self, count: u8, store: SocketAddr) -> Vec<Host> {
        self.start_hosts_at(count, store, Some(0))
    }

    fn start_hosts_at(&self, count: u8, store: SocketAddr, zone: Option<usize>) -> Vec<Host> {
        let start = |number| {
            let host = Host::start(&self.root, &self.folder, &self.network, (number, count), store, zone);
            host.expect("a host does not start")
        };
        let hosts: Vec<Host> = (1..=count).map(start).collect();
        for host in &hosts {
            assert!(host.wait_until_ready(Duration::from_secs(15)), "a host is not ready");
        }
        self.record.note(format!("{count} hosts are ready"));
        hosts
    }
}

fn main() {
    let code = panic::catch_unwind(run).unwrap_or(2);
    end_processes();
    exit(code);
}

/// Plays the case of the command line and returns the exit code.
fn run() -> i32 {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: rig CASE ROOT FOLDER");
        return 2;
    };
    let record = Arc::new(Record::new(Path::new(folder).join("record.txt")));
    let scratch = std::env::temp_dir().join(format!("rig-{}", std::process::id()));
    fs::create_dir_all(&scratch).expect("the temporary folder cannot be created");
    let network = Network::find();
    let store = Store::start(network.store()).expect("the store does not start");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = Path::new(root).canonicalize().expect("the repository is not there");
    let stage = Stage { root, folder: scratch.clone(), network, store, record: Arc::clone(&record), has_trouble };
    stage.put_config();
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        end_processes();
        eprintln!("the case took too long");
        exit(2);
    });
    let play: fn(&Stage) -> bool = match case.as_str() {
        "unreadable-entry" => unreadable_entry::play,
        "pipelined-gone" => pipelined_gone::play,
        "pipelined-term" => pipelined_term::play,
        "removed-after-cut" => removed_after_cut::play,
        "slow-upload-term" => slow_upload_term::play,
        _ => panic!("no such case"),
    };
    let played = panic::catch_unwind(panic::AssertUnwindSafe(|| play(&stage)));
    end_processes();
    if std::env::var("KEEP_LOGS").is_err() {
        let _ = fs::remove_dir_all(&scratch);
    }
    let (code, verdict) = match played {
        Ok(true) => (0, "the rule held"),
        Ok(false) => (1, "the rule was broken"),
        Err(_) => (2, "the case could not run"),
    };
    record.note(verdict);
    record.save();
    println!("{verdict}");
    code
}
