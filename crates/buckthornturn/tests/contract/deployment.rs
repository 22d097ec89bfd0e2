//! Real host processes, with a store and a target that run in the test process.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::callers::key_hash;
use serde_json::Value;
use serde_json::json;
use standin::store::StoreStandin;
use standin::target_standin::TargetBehaviour;
use standin::target_standin::TargetStandin;
use tokio::runtime::Runtime;

pub const WRITE_TOKEN: &str = "write-token";
pub const READ_TOKEN: &str = "read-token";
pub const SERVICE_HOST: &str = "memorial.example";

const ANY_PORT: &str = "127.0.0.1:0";
const WAIT_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A store, a target and host processes; dropping it kills the processes.
pub struct Deployment {
    pub folder: PathBuf,
    pub hosts: Vec<HostProcess>,
    pub store: StoreStandin,
    pub target: TargetStandin,
    _runtime: Runtime,
}

/// A running host process; dropping it kills the process.
pub struct HostProcess {
    pub child: Child,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
}

/// An HTTP/1.1 answer; the status is 0 if none came, and the head is in lower case.
pub struct Answer {
    pub status: u16,
    pub head: Box<str>,
    pub body: Box<str>,
}

impl Deployment {
    /// Starts a store, a target and one host in each failure domain, `a` and `b`.
    pub fn start(name: &str) -> Self {
        let runtime = Runtime::new().unwrap();
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let store = runtime.block_on(StoreStandin::start(any_port)).unwrap();
        let behaviour = TargetBehaviour::default();
        let target =
            runtime.block_on(TargetStandin::start("t".into(), any_port, behaviour)).unwrap();
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let mut deployment = Self { folder, hosts: Vec::new(), store, target, _runtime: runtime };
        deployment.start_host("h1", "a", json!({}));
        deployment.start_host("h2", "b", json!({}));
        deployment
    }

    /// Starts a host process with the usual settings and `extra` ones, waits for its addresses and registers it in the
    /// store.
    pub fn start_host(&mut self, host: &str, domain: &str, extra: Value) {
        let mut settings = json!({
            "host": host,
            "failure_domain": domain,
            "region": "north",
            "listeners": { "callers": ANY_PORT, "operators": ANY_PORT, "mesh": ANY_PORT },
            "store": { "address": self.store.address() },
            "operators": [
                { "name": "writer", "role": "write", "token_sha256": key_hash(WRITE_TOKEN) },
                { "name": "reader", "role": "read", "token_sha256": key_hash(READ_TOKEN) },
            ],
            "shutdown_seconds": 2,
        });
        for (field, value) in extra.as_object().unwrap() {
            settings[field] = value.clone();
        }
        let path = self.folder.join(format!("{host}.jsonc"));
        std::fs::write(&path, format!("// Settings.\n{settings}")).unwrap();
        let log_path = self.folder.join(format!("{host}.log"));
        let log = std::fs::File::create(&log_path).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_buckthornturn"))
            .args(["host", "--settings", path.to_str().unwrap()])
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap();
        let line = self.wait_for("the addresses of a host", || {
            let text = std::fs::read_to_string(&log_path).unwrap();
            let whole = text.rsplit_once('\n').map_or("", |(whole, _)| whole);
            whole.lines().find(|line| line.starts_with("callers ")).map(str::to_owned)
        });
        let words: Vec<_> = line.split_whitespace().collect();
        let address = |index: usize| words[index].parse::<SocketAddr>().unwrap();
        let mesh = address(5);
        let row = json!({
            "host": host, "failure_domain": domain, "region": "north", "mesh": mesh, "leaving": false,
        });
        self.store.put_host(host, row);
        self.hosts.push(HostProcess { child, callers: address(1), operators: address(3) });
    }

    /// Writes a file into the deployment's folder and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }

    /// A complete configuration with customers `x` and `slow`; `slow` has a burst of two requests.
    pub fn configuration(&self) -> String {
        let address = self.target.address();
        let objects = json!([
            { "kind": "domain", "name": "a", "region": "north" },
            { "kind": "domain", "name": "b", "region": "north" },
            { "kind": "service", "name": "memorial", "hosts": [SERVICE_HOST], "routes": [
                { "name": "open", "path_prefix": "/open", "open": true, "repeatable": true },
                { "name": "pay", "path_prefix": "/pay" },
                { "name": "keyed", "path_prefix": "/keyed", "repeatable": true },
            ]},
            { "kind": "service", "name": "other", "hosts": ["other.example"], "routes": [
                { "name": "all", "path_prefix": "/" },
            ]},
            { "kind": "target", "name": "t", "service": "memorial", "failure_domain": "a",
              "address": address, "slots": 8, "warm_up_seconds": 0 },
            { "kind": "profile", "name": "keep the archive reachable" },
            { "kind": "assignment", "name": "memorial", "service": "memorial", "profile": "keep the archive reachable" },
            { "kind": "customer", "name": "x", "rate_per_second": 1000, "burst": 1000, "services": ["memorial"] },
            { "kind": "customer", "name": "slow", "rate_per_second": 0.001, "burst": 2, "services": ["memorial"] },
        ]);
        format!("{{ \"objects\": {objects} }}")
    }

    /// Applies [`Deployment::configuration`] and waits until every host uses it.
    pub fn apply_configuration(&self) {
        let file = self.write_file("configuration.jsonc", &self.configuration());
        let output = self.run_as_writer(&["apply", &file], 0);
        assert_eq!(output.status.code(), Some(0), "{output:?}");
        for host in 0..self.hosts.len() {
            self.wait_for("the configuration", || {
                let answer = self.send_request(host, "GET", "/open", &[]);
                (answer.status == 200).then_some(())
            });
        }
    }

    /// Runs a subcommand against a host with the token of the operator who may write.
    pub fn run_as_writer(&self, arguments: &[&str], host: usize) -> Output {
        self.run_with_token(WRITE_TOKEN, arguments, host)
    }

    /// Runs a subcommand against a host with a token.
    pub fn run_with_token(&self, token: &str, arguments: &[&str], host: usize) -> Output {
        let address = self.hosts[host].operators.to_string();
        run_binary(&[arguments, &["--host", &address]].concat(), token)
    }

    /// Grants a key to a customer; returns its identifier and the key.
    pub fn grant_key(&self, customer: &str) -> (String, String) {
        let output = self.run_as_writer(&["key", "grant", customer, "--json"], 0);
        let answer: Value = serde_json::from_slice(&output.stdout).unwrap();
        let text = |field: &str| answer[field].as_str().unwrap().to_owned();
        (text("id"), text("key"))
    }

    /// Sends a request without a body to a host's listener for callers.
    pub fn send_request(
        &self,
        host: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Answer {
        send_http_request(self.hosts[host].callers, method, path, headers)
    }

    /// Polls until a value is returned; panics with the description after 20 s.
    pub fn wait_for<T>(&self, awaited: &str, mut poll: impl FnMut() -> Option<T>) -> T {
        let end = Instant::now() + WAIT_LIMIT;
        loop {
            match poll() {
                Some(found) => return found,
                None if Instant::now() > end => panic!("timed out waiting for {awaited}"),
                None => std::thread::sleep(POLL_INTERVAL),
            }
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the binary to its end, with an operator token in its environment.
pub fn run_binary(arguments: &[&str], token: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_buckthornturn"))
        .args(arguments)
        .env("BUCKTHORNTURN_TOKEN", token)
        .output()
        .unwrap()
}

/// Sends a request without a body on its own connection; the `host` header defaults to the tested service.
pub fn send_http_request(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
) -> Answer {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let host = match headers.iter().any(|(name, _)| name.eq_ignore_ascii_case("host")) {
        true => String::new(),
        false => format!("host: {SERVICE_HOST}\r\n"),
    };
    let lines: String =
        headers.iter().map(|(name, value)| format!("{name}: {value}\r\n")).collect();
    let head = format!(
        "{method} {path} HTTP/1.1\r\n{host}{lines}content-length: 0\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes);
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    let status = head.split_whitespace().nth(1).and_then(|code| code.parse().ok()).unwrap_or(0);
    Answer { status, head: head.to_ascii_lowercase().into(), body: body.into() }
}
