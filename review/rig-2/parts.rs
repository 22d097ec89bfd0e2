//! Stand-ins for the platform, and the project's hosts as processes. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

/// Lines of `record.txt`, with the time since the start of the script.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started_at: Instant,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(file)), started_at: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} {}", text.as_ref());
        println!("{at:8.3} {}", text.as_ref());
    }
}

/// Head of an HTTP/1.1 message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn attempt(&self) -> &str {
        self.header("x-attempt-id").unwrap_or("")
    }

    fn content_length(&self) -> usize {
        self.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        self.header("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }
}

/// Buffered reader of HTTP/1.1 messages.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> std::io::Result<bool> {
        let mut part = [0; 16 << 10];
        let bytes = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..bytes]);
        Ok(bytes > 0)
    }

    /// Reads a head; `None` if the connection ended before its first byte.
    pub fn read_head(&mut self) -> std::io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first_line = lines.next().unwrap_or("").to_owned();
                let headers = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Ok(Some(Head { first_line, headers }));
            }
            if !self.fill()? {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(std::io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    pub fn read_bytes(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads what has arrived, at most `count` bytes; nothing at the end of the connection.
    pub fn read_some(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let count = count.min(self.buffer.len());
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> std::io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            if !self.fill()? {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: &Head) -> std::io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_bytes(head.content_length());
        }
        let mut body = Vec::new();
        loop {
            let size = self.read_line()?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            body.extend(self.read_bytes(size)?);
            self.read_line()?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    /// Reads an answer; the error tells that the connection ended without a complete one.
    pub fn read_answer(&mut self) -> std::io::Result<(Head, Vec<u8>)> {
        let head = self.read_head()?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let body = self.read_body(&head)?;
        Ok((head, body))
    }
}

/// Accepts connections on a loopback port and serves each on a thread.
pub fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            let _ = stream.set_nodelay(true);
            std::thread::Builder::new().stack_size(256 << 10).spawn(move || serve(stream)).ok();
        }
    });
    address
}

struct Event {
    revision: u64,
    kind: String,
    text: String,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), String>,
    events: Vec<Event>,
}

/// Stand-in for the platform's metadata store (PROTOCOL.md).
#[derive(Clone)]
pub struct Store {
    /// Whether the store takes calls and answers none.
    pub is_silent: Arc<AtomicBool>,
    state: Arc<(Mutex<StoreState>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> Self {
        let state: Arc<(Mutex<StoreState>, Condvar)> = Arc::default();
        state.0.lock().unwrap().revision = 100;
        let is_silent = Arc::<AtomicBool>::default();
        let silence = Arc::clone(&is_silent);
        let served = Arc::clone(&state);
        let address = listen(move |stream| {
            let mut reader = Reader::new(stream);
            while let Ok(Some(head)) = reader.read_head() {
                let Ok(body) = reader.read_body(&head) else { return };
                let (status, text) = answer_store_call(&served, &head, &body);
                if silence.load(Ordering::Relaxed) {
                    while silence.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
                let answer = format!(
                    "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                    text.len()
                );
                if reader.stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Self { is_silent, state, address }
    }

    /// Writes an object as the operator or a server does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let text = object_text(name, revision, spec);
        let key = (kind.to_owned(), name.to_owned());
        state.objects.insert(key, text.clone());
        let text = format!(r#"{{"deleted":false,"object":{text}}}"#);
        state.events.push(Event { revision, kind: kind.to_owned(), text });
        drop(state);
        self.state.1.notify_all();
    }
}

fn object_text(name: &str, revision: u64, spec: &str) -> String {
    format!(
        r#"{{"metadata":{{"name":"{name}","revision":{revision},"created_rev":{revision},"finalizers":[],"deleting":false}},"spec":{spec},"status":null}}"#
    )
}

fn query(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}

fn answer_store_call(
    shared: &(Mutex<StoreState>, Condvar),
    head: &Head,
    _body: &[u8],
) -> (u16, String) {
    let path = head.path();
    let plain = path.split('?').next().unwrap_or("");
    let kind = plain.trim_start_matches("/objects/").split('/').next().unwrap_or("").to_owned();
    if head.method() != "GET" {
        return (503, "{}".to_owned());
    }
    let (lock, changed) = shared;
    let mut state = lock.lock().unwrap();
    let Some(after) = query(path, "watch").and_then(|text| text.parse::<u64>().ok()) else {
        let items: Vec<&str> = state
            .objects
            .iter()
            .filter(|((of, _), _)| *of == kind)
            .map(|(_, object)| object.as_str())
            .collect();
        let (items, revision) = (items.join(","), state.revision);
        return (200, format!(r#"{{"items":[{items}],"more":false,"current_rev":{revision}}}"#));
    };
    let wait = query(path, "wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = Instant::now() + Duration::from_millis(wait);
    loop {
        let is_later = |event: &&Event| event.revision > after && event.kind == kind;
        let events: Vec<&str> =
            state.events.iter().filter(is_later).map(|event| event.text.as_str()).collect();
        let left = end.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let (events, revision) = (events.join(","), state.revision);
            return (200, format!(r#"{{"events":[{events}],"current_rev":{revision}}}"#));
        }
        state = changed.wait_timeout(state, left).unwrap().0;
    }
}

/// Entry of a server in the store.
pub fn server_entry(address: SocketAddr, service: &str, zone: &str, slots: u32) -> String {
    format!(
        r#"{{"address":"{address}","born":1700000000000,"info":{{"backend_service":"{service}","version":"v1","zone":"{zone}","slots":{slots}}},"status":{{"state":"ready","sequence":1,"cold_remaining_ms":0}}}}"#
    )
}

/// A route of the operator's config.
pub struct Route<'a> {
    pub name: &'a str,
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub timeout_ms: u64,
    pub max_attempts: u32,
}

pub const HOSTNAME: &str = "jepu9.example";
pub const KEY: &str = "9anu6wsjnbanfqasnmgk";

/// The operator's config, with one tenant without a limit.
pub fn config_text(version: &str, routes: &[Route<'_>], max_header_bytes: u64) -> String {
    let mut resources: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, prefix, kind, service, timeout_ms, max_attempts } = route;
            format!(
                r#"{{"resource_kind":"routes","metadata":{{"name":"{name}"}},"spec":{{"hostname":"{HOSTNAME}","path_prefix":"{prefix}","route_type":"{kind}","timeout_ms":{timeout_ms},"target_latency_ms":1000,"priority":1,"backend_service":"{service}","max_attempts":{max_attempts},"public":false,"session_affinity":false,"allowed_regions":[]}}}}"#
            )
        })
        .collect();
    let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
    services.dedup();
    resources.extend(services.iter().map(|service| {
        format!(
            r#"{{"resource_kind":"services","metadata":{{"name":"{service}"}},"spec":{{"health_check_path":"/health","max_connections":360,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":6.9}}}}"#
        )
    }));
    resources.push(format!(
        r#"{{"resource_kind":"tenants","metadata":{{"name":"sese880"}},"spec":{{"api_keys":["{KEY}"],"priority":1,"rate_per_s":0,"burst":0,"allowed_regions":[]}}}}"#
    ));
    resources.push(format!(
        r#"{{"resource_kind":"limits","metadata":{{}},"spec":{{"max_header_bytes":{max_header_bytes},"max_body_bytes":67108864,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    ));
    let resources = resources.join(",");
    format!(r#"{{"version":"{version}","base_version":"00000000","resources":[{resources}]}}"#)
}

/// Addresses of one host.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    pub look_ups: SocketAddr,
    pub mesh: SocketAddr,
    pub metrics: SocketAddr,
}

/// A free port below the ephemeral range, so that no outgoing connection takes it before the host listens.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let number = std::process::id().wrapping_mul(97) + NEXT.fetch_add(1, Ordering::Relaxed);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 12_000 + (number % 20_000) as u16));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}

impl Ports {
    pub fn free() -> Self {
        Self {
            callers: free_address(),
            readiness: free_address(),
            look_ups: free_address(),
            mesh: free_address(),
            metrics: free_address(),
        }
    }
}

/// Settings of one machine, as DEPLOY.md has them.
pub struct Machine {
    pub name: String,
    pub zone: &'static str,
    pub region: &'static str,
    pub ports: Ports,
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub memory_mb: u64,
    pub max_fds: u64,
}

pub const ZONES: &str =
    r#"{"asan":"bagmati","patan":"bagmati","lakeside":"gandaki","biratnagar":"koshi"}"#;

impl Machine {
    /// Fills in the template of the deploy file. The metrics address has a port of its own, as several hosts share an address here.
    fn settings(&self) -> String {
        let text = std::fs::read_to_string("deploy/host.jsonc").expect("the template");
        let quoted = |text: String| format!("\"{text}\"");
        let seeds: Vec<String> = self.seeds.iter().map(|seed| quoted(seed.to_string())).collect();
        let values = [
            ("node_name", quoted(self.name.clone())),
            ("zone", quoted(self.zone.to_owned())),
            ("region", quoted(self.region.to_owned())),
            ("zones", ZONES.to_owned()),
            ("listen_addrs.frontend", quoted(self.ports.callers.to_string())),
            ("listen_addrs.directory", quoted(self.ports.look_ups.to_string())),
            ("listen_addrs.readiness", quoted(self.ports.readiness.to_string())),
            ("listen_addrs.control_plane", quoted(self.ports.mesh.to_string())),
            ("platform.address", quoted(self.store.to_string())),
            ("seed_nodes", format!("[{}]", seeds.join(","))),
            ("limits.cpu_share", "0.2".to_owned()),
            ("limits.memory_mb", self.memory_mb.to_string()),
            ("limits.max_fds", self.max_fds.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "60".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.quota_window_s", "5".to_owned()),
            ("bounds.quota_overage", "0.1".to_owned()),
            ("bounds.quota_slack", "20".to_owned()),
            ("bounds.cold_overage", "1.5".to_owned()),
            ("bounds.cold_slack", "5".to_owned()),
            ("bounds.max_region_shift", "0.15".to_owned()),
            ("bounds.ttl_max_s", "5".to_owned()),
            ("bounds.grace_period_s", GRACE_PERIOD.as_secs().to_string()),
        ];
        let text = values
            .iter()
            .fold(text, |text, (name, value)| text.replace(&format!("{{{{{name}|json}}}}"), value));
        text.replace("{{ip}}:9464", &self.ports.metrics.to_string())
    }
}

/// Time between SIGTERM and SIGKILL (`grace_period_s` of the sheets).
pub const GRACE_PERIOD: Duration = Duration::from_secs(6);

/// Numbers of Linux, by which a host is killed if this process ends without doing so.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: usize = 9;

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

/// A host as a process of its own, started as the deploy file says and killed when this value is dropped.
pub struct Host {
    child: Child,
    ports: Ports,
}

/// Processes that were started and not waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script, with all processes that it started, if it lasts too long.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id}")]).status();
        }
        std::process::exit(2);
    });
}

impl Host {
    pub fn start(machine: &Machine, folder: &Path) -> Self {
        let settings = folder.join(format!("{}.settings", machine.name));
        std::fs::write(&settings, machine.settings()).expect("the settings can be written");
        let log = folder.join(format!("{}.log", machine.name));
        let output = File::options().create(true).append(true).open(&log).expect("a log file");
        let mut command = Command::new("target/release/buckthornturn");
        // SAFETY: `prctl` may be called between fork and exec.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .args(["host", "--settings"])
            .arg(&settings)
            .env_clear()
            .env("BUCKTHORNTURN_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(output.try_clone().expect("a log file"))
            .stderr(output)
            .spawn()
            .expect("the host starts");
        STARTED.lock().unwrap().push(child.id());
        Self { child, ports: machine.ports }
    }

    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        let _ = Command::new("sh").args(["-c", &command]).status();
    }

    pub fn is_ready(&self) -> bool {
        ask(self.ports.readiness, "GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
            .is_some_and(|head| head.status() == 200)
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Resident memory in bytes.
    pub fn resident_bytes(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        number.unwrap_or(0) << 10
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// Sends a request and reads the head of its answer.
pub fn ask(address: SocketAddr, text: &str) -> Option<Head> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Reader::new(stream).read_head().ok()?
}

/// Polls until a check is true; `false` if it is not within the limit.
pub fn wait_until(limit: Duration, mut check: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if check() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Text of a client's request without a body.
pub fn request_text(method: &str, path: &str, attempt: &str, budget_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOSTNAME}\r\nX-Attempt-Id: {attempt}\r\nX-Request-Deadline: {budget_ms}\r\nX-Credential: {KEY}\r\n"
    )
}

/// Head of a server's own answer to a request.
pub fn answer_head(request: &Head, status: &str) -> String {
    let attempt = request.attempt();
    format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{attempt}\r\n")
}

/// Runs `crowd` while the platform watches the host: a process that exceeds `memory_mb` is killed. Tells whether it was.
pub fn watch_memory<T>(
    record: &Record,
    host: &Host,
    memory_mb: u64,
    crowd: impl FnOnce() -> T,
) -> (T, bool) {
    let (is_over, is_killed) = (AtomicBool::new(false), AtomicBool::new(false));
    let largest = AtomicU64::new(0);
    let result = std::thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                let bytes = host.resident_bytes();
                largest.fetch_max(bytes, Ordering::Relaxed);
                if bytes > memory_mb << 20 && !is_killed.swap(true, Ordering::Relaxed) {
                    record.line(format!(
                        "resident {} MB, over the limit: the platform kills the host",
                        bytes >> 20
                    ));
                    host.signal("KILL");
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        });
        let result = crowd();
        is_over.store(true, Ordering::Relaxed);
        result
    });
    record.line(format!("largest resident size {} MB", largest.load(Ordering::Relaxed) >> 20));
    (result, is_killed.into_inner())
}
