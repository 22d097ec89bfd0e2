//! Hosts of the system as processes of their own, on loopback addresses that are free.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;

extern "C" {
    fn kill(process: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;
const ZONES: [(&str, &str); 6] = [
    ("heredia-a", "heredia"),
    ("liberia-a", "liberia"),
    ("limon-a", "limon"),
    ("heredia-b", "heredia"),
    ("liberia-b", "liberia"),
    ("limon-b", "limon"),
];

/// Processes that the rig started and that have not ended yet.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Addresses of one run: a loopback network of its own.
pub struct Network {
    second: u8,
    third: u8,
}

impl Network {
    /// Finds a loopback network in which the addresses of the deployment are free.
    pub fn find() -> Self {
        let seed = std::process::id().wrapping_mul(2_654_435_761) >> 8;
        for step in 0..200 {
            let place = seed.wrapping_add(step * 7);
            let network = Self { second: 64 + (place % 128) as u8, third: (place >> 8) as u8 };
            if (1..4).all(|host| TcpListener::bind(network.address(host, 8206)).is_ok()) {
                return network;
            }
        }
        panic!("no free loopback addresses");
    }

    pub fn address(&self, host: u8, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.second, self.third, host], port))
    }

    pub fn store(&self) -> SocketAddr {
        self.address(200, 8205)
    }

    /// Address of the link to the store, where it goes through a proxy.
    pub fn store_link(&self) -> SocketAddr {
        self.address(201, 8205)
    }

    pub fn server(&self, number: u8) -> SocketAddr {
        self.address(100 + number, 8080)
    }
}

pub struct Host {
    child: Child,
    pub callers: SocketAddr,
    readiness: SocketAddr,
}

impl Host {
    /// Starts a host with the command and the template of the deploy file. `number` is counted from 1. The host reaches the
    /// store at `store`, and is in the given zone or else in the next one in turn.
    pub fn start(
        root: &Path,
        folder: &Path,
        network: &Network,
        (number, hosts): (u8, u8),
        store: SocketAddr,
        zone: Option<usize>,
    ) -> io::Result<Self> {
        let address = |port: u16| network.address(number, port);
        let (zone, region) = ZONES[zone.unwrap_or(usize::from(number - 1)) % ZONES.len()];
        let name = format!("edge-{zone}-{number}");
        let seeds: Vec<String> =
            (1..=hosts.min(3)).map(|seed| format!("\"{}\"", network.address(seed, 8200))).collect();
        let zones: Vec<String> = ZONES.iter().map(|(zone, region)| format!("\"{zone}\":\"{region}\"")).collect();
        let quoted = |text: &dyn std::fmt::Display| format!("\"{text}\"");
        let fields: BTreeMap<&str, String> = [
            ("node_name|json", quoted(&name)),
            ("zone|json", quoted(&zone)),
            ("region|json", quoted(&region)),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("listen_addrs.frontend|json", quoted(&address(8206))),
            ("listen_addrs.directory|json", quoted(&address(8209))),
            ("listen_addrs.readiness|json", quoted(&address(8201))),
            ("listen_addrs.control_plane|json", quoted(&address(8200))),
            ("ip", address(0).ip().to_string()),
            ("platform.address|json", quoted(&store)),
            ("seed_nodes|json", format!("[{}]", seeds.join(","))),
            ("limits.cpu_share|json", "0.2".into()),
            ("limits.memory_mb|json", "112".into()),
            ("limits.max_fds|json", "2870".into()),
            ("bounds.retry_budget_ratio|json", "0.2".into()),
            ("bounds.retry_budget_slack|json", "60".into()),
            ("bounds.ttl_max_s|json", "5".into()),
            ("bounds.grace_period_s|json", "6".into()),
        ]
        .into();
        let mut settings = fs::read_to_string(root.join("deploy/host.jsonc"))?;
        for (name, value) in fields {
            settings = settings.replace(&format!("{{{{{name}}}}}"), &value);
        }
        assert!(!settings.contains("{{"), "the template has a placeholder that the rig does not fill in");
        let path: PathBuf = folder.join(format!("settings-{number}.toml"));
        fs::write(&path, settings)?;
        let log = File::create(folder.join(format!("host-{number}.log")))?;
        let child = Command::new(root.join("target/release/buckthornturn"))
            .args(["host", "--settings"])
            .arg(&path)
            .env("BUCKTHORNTURN_SETTINGS", &path)
            .current_dir(root)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        Ok(Self { child, callers: address(8206), readiness: address(8201) })
    }

    /// Waits until the host says that it is ready; `false` if it does not within the time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<u16> {
            let mut stream = TcpStream::connect(self.readiness)?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream.write_all(b"GET /readiness HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
            Ok(Head::read(&mut BufReader::new(stream))?.map_or(0, |head| head.status()))
        };
        ask().is_ok_and(|status| status == 200)
    }

    pub fn signal(&self, signal: i32) {
        // SAFETY: the process is a child of the rig that was not waited for, so its id is its own.
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        RUNNING.lock().unwrap().retain(|process| *process != self.child.id());
    }
}

/// Ends all processes that the rig started and that still run.
pub fn end_processes() {
    for process in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: the process is a child of the rig that was not waited for, so its id is its own.
        unsafe { kill(process as i32, SIGKILL) };
    }
}
