//! Entry hosts as processes of their own, started as the deploy file says.

use std::fs;
use std::fs::File;
use std::io::BufReader;
use std::io::Write;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::Head;

/// Limits of a machine of the small sites.
pub const MEMORY_MB: u64 = 260;
const MAX_DESCRIPTORS: u64 = 4_100;
const START_LIMIT: Duration = Duration::from_secs(15);

/// Failure domains with their regions.
pub type Domains = [(&'static str, &'static str)];

/// A host of the system on a loopback address of its own. Dropping it ends the process.
pub struct Host {
    pub name: String,
    pub ip: IpAddr,
    program: String,
    arguments: Vec<String>,
    log: PathBuf,
    process: Option<Child>,
}

impl Host {
    /// Address of the callers' listener.
    pub fn callers(&self) -> SocketAddr {
        SocketAddr::new(self.ip, 8206)
    }

    /// Starts the process.
    pub fn spawn(&mut self) -> Result<(), String> {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let process = Command::new(&self.program)
            .args(&self.arguments)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|error| error.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|error| format!("{}: {error}", self.program))?;
        self.process = Some(process);
        Ok(())
    }

    /// Waits until the process says that it is ready.
    pub fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err(format!("{} is not ready", self.name))
    }

    fn is_ready(&self) -> bool {
        let address = SocketAddr::new(self.ip, 8201);
        let Ok(mut stream) = TcpStream::connect(address) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let _ = stream.write_all(b"GET /readiness HTTP/1.1\r\nhost: x\r\n\r\n");
        let head = Head::read(&mut BufReader::new(stream));
        matches!(head, Ok(Some(head)) if head.status() == 200)
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Prepares hosts in all domains in turn, with the command and the template of the deploy file.
pub fn prepare_hosts(
    folder: &std::path::Path,
    count: usize,
    domains: &Domains,
    store: SocketAddr,
) -> Result<Vec<Host>, String> {
    let read = |path: &str| fs::read_to_string(path).map_err(|error| format!("{path}: {error}"));
    let (deploy, template) = (read("deploy/system.toml")?, read("deploy/host.jsonc")?);
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or("deploy/system.toml has no run line")?;
    let ips = free_addresses(count)?;
    let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("\"{ip}:8200\"")).collect();
    let zones: Vec<String> =
        domains.iter().map(|(name, region)| format!("\"{name}\":\"{region}\"")).collect();
    let mut hosts = Vec::new();
    for (index, ip) in ips.into_iter().enumerate() {
        let (zone, region) = domains[index % domains.len()];
        let name = format!("edge-{zone}-{}", index / domains.len() + 1);
        let text = |value: &str| format!("\"{value}\"");
        let fields = [
            ("node_name|json", text(&name)),
            ("zone|json", text(zone)),
            ("region|json", text(region)),
            ("zones|json", format!("{{{}}}", zones.join(","))),
            ("listen_addrs.frontend|json", text(&format!("{ip}:8206"))),
            ("listen_addrs.directory|json", text(&format!("{ip}:8209"))),
            ("listen_addrs.readiness|json", text(&format!("{ip}:8201"))),
            ("listen_addrs.control_plane|json", text(&format!("{ip}:8200"))),
            ("ip", ip.to_string()),
            ("platform.address|json", text(&store.to_string())),
            ("seed_nodes|json", format!("[{}]", seeds.join(","))),
            ("limits.cpu_share|json", "0.2".into()),
            ("limits.memory_mb|json", MEMORY_MB.to_string()),
            ("limits.max_fds|json", MAX_DESCRIPTORS.to_string()),
            ("bounds.retry_budget_ratio|json", "0.2".into()),
            ("bounds.retry_budget_slack|json", "60".into()),
            ("bounds.ttl_max_s|json", "5".into()),
            ("bounds.grace_period_s|json", "6".into()),
            ("bounds.budget_window_s", "10".into()),
            ("bounds.quota_window_s", "5".into()),
            ("bounds.quota_overage", "0.1".into()),
            ("bounds.quota_slack", "20".into()),
            ("bounds.cold_overage", "1.5".into()),
            ("bounds.cold_slack", "5".into()),
            ("bounds.max_region_shift", "0.15".into()),
        ];
        let fill = |text: &str| {
            fields.iter().fold(text.to_owned(), |text, (field, value)| {
                text.replace(&format!("{{{{{field}}}}}"), value)
            })
        };
        let settings = folder.join(format!("{name}.jsonc"));
        fs::write(&settings, fill(&template)).map_err(|error| error.to_string())?;
        let command =
            fill(run).replace("/etc/buckthornturn/settings.toml", &settings.to_string_lossy());
        let mut words = command.split(' ').map(str::to_owned);
        let program = words.next().unwrap_or_default();
        let log = folder.join(format!("{name}.log"));
        hosts.push(Host { name, ip, program, arguments: words.collect(), log, process: None });
    }
    Ok(hosts)
}

/// Loopback addresses on which the ports of a host are free.
fn free_addresses(count: usize) -> Result<Vec<IpAddr>, String> {
    let start = std::process::id();
    for step in 0..200 {
        let number = start.wrapping_mul(31).wrapping_add(step);
        let (second, third) = ((number / 250 % 250 + 2) as u8, (number % 250) as u8);
        let ips: Vec<IpAddr> =
            (0..count).map(|last| IpAddr::from([127, second, third, last as u8 + 1])).collect();
        let is_free = |ip: &IpAddr| {
            let tcp = [8200, 8201, 8206, 8209, 9464]
                .iter()
                .all(|port| TcpListener::bind(SocketAddr::new(*ip, *port)).is_ok());
            tcp && UdpSocket::bind(SocketAddr::new(*ip, 8200)).is_ok()
        };
        if ips.iter().all(is_free) {
            return Ok(ips);
        }
    }
    Err("no free loopback addresses".into())
}
