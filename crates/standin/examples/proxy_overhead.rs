//! Compares latency and throughput of requests through a host with those of requests sent to the target directly. Each
//! caller sends its next request when the last is answered (closed loop), over loopback. Direct and proxied rounds
//! alternate within one run.
//!
//! `cargo run --release -p buckthornturn-standin --example proxy_overhead -- [CALLERS] [SECONDS]`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use buckthornturn::HostProcess;
use buckthornturn::callers::key_hash;
use bytes::Bytes;
use futures::FutureExt;
use hdrhistogram::Histogram;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use standin::body_check::RequestStamp;
use standin::body_check::STAMP_HEADER;
use standin::json_client::JsonClient;
use standin::store::StoreStandin;
use standin::target_standin::TargetBehaviour;
use standin::target_standin::TargetStandin;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

type ExampleError = Box<dyn std::error::Error + Send + Sync>;

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const TOKEN: &str = "overhead";
const ROUND_COUNT: u32 = 6;
const MAX_CALLERS: usize = 256;
const MAX_SECONDS: f64 = 60.0;

struct RoundResult {
    latency: Histogram<u64>,
    seconds: f64,
}

fn main() -> Result<(), ExampleError> {
    spdlog::default_logger().set_level_filter(spdlog::LevelFilter::Off);
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()?
        .block_on(run())
}

async fn run() -> Result<(), ExampleError> {
    let mut arguments = std::env::args().skip(1);
    let callers: usize = arguments.next().map_or(Ok(16), |text| text.parse())?;
    let seconds: f64 = arguments.next().map_or(Ok(2.0), |text| text.parse())?;
    let (callers, seconds) = (callers.clamp(1, MAX_CALLERS), seconds.clamp(0.1, MAX_SECONDS));
    let behaviour = TargetBehaviour { slots: 10_000, work_ms: 0, ..TargetBehaviour::default() };
    let target = TargetStandin::start("t".into(), ANY_PORT, behaviour).await?;
    let store = StoreStandin::start(ANY_PORT).await?;
    let host = HostProcess::start(serde_json::from_value(json!({
        "host": "h", "failure_domain": "d", "region": "r",
        "listeners": { "callers": ANY_PORT, "operators": ANY_PORT, "mesh": ANY_PORT },
        "store": { "address": store.address() },
        "operators": [{ "name": "o", "role": "write", "token_sha256": key_hash(TOKEN) }],
    }))?)
    .await?;
    let operators = JsonClient::with_token(host.operator_address(), TOKEN);
    let changes = json!({ "changes": configuration_changes(target.address()) });
    operators.call(Method::POST, "/v1/apply", changes).await?;
    let granted = operators.call(Method::POST, "/v1/keys", json!({ "customer": "a" })).await?;
    let key = granted["key"].as_str().unwrap_or_default().to_owned();
    tokio::time::sleep(Duration::from_secs(2)).await;
    let (mut direct, mut proxied) = (Vec::new(), Vec::new());
    for _ in 0..ROUND_COUNT {
        direct.push(
            run_round(target.address(), &key, callers, seconds / f64::from(ROUND_COUNT)).await?,
        );
        proxied.push(
            run_round(host.caller_address(), &key, callers, seconds / f64::from(ROUND_COUNT))
                .await?,
        );
    }
    let (direct, proxied) =
        (LatencySummary::from_rounds(&direct), LatencySummary::from_rounds(&proxied));
    direct.print("direct");
    proxied.print("through the host");
    println!(
        "ratio: median {:.2}, p99 {:.2}, throughput {:.2}",
        proxied.median / direct.median,
        proxied.p99 / direct.p99,
        proxied.throughput / direct.throughput
    );
    host.stop().await;
    Ok(())
}

fn configuration_changes(target: SocketAddr) -> Vec<Value> {
    let objects = [
        json!({ "kind": "domain", "name": "d", "region": "r" }),
        json!({ "kind": "service", "name": "s", "hosts": ["s.example"],
                "routes": [{ "name": "r", "path_prefix": "/", "repeatable": true }] }),
        json!({ "kind": "target", "name": "t", "service": "s", "failure_domain": "d",
                "address": target, "slots": 10_000, "warm_up_seconds": 0 }),
        json!({ "kind": "profile", "name": "p" }),
        json!({ "kind": "assignment", "name": "a", "service": "s", "profile": "p" }),
        json!({ "kind": "customer", "name": "a", "rate_per_second": 1e6, "burst": 1e6,
                "services": ["s"] }),
    ];
    objects.into_iter().map(|object| json!({ "operation": "put", "object": object })).collect()
}

async fn run_round(
    address: SocketAddr,
    key: &str,
    callers: usize,
    seconds: f64,
) -> Result<RoundResult, ExampleError> {
    let started = Instant::now();
    let end = started + Duration::from_secs_f64(seconds);
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let key = key.to_owned();
        tasks.spawn(async move { call_until(address, &key, end).await });
    }
    let mut latency = Histogram::new(3)?;
    while let Some(result) = tasks.join_next().await {
        latency.add(result??)?;
    }
    Ok(RoundResult { latency, seconds: started.elapsed().as_secs_f64() })
}

async fn call_until(
    address: SocketAddr,
    key: &str,
    end: Instant,
) -> Result<Histogram<u64>, ExampleError> {
    let mut latency = Histogram::new(3)?;
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection.map(drop));
    let stamp = RequestStamp::new("GET", "/page", b"").to_string();
    while Instant::now() < end {
        let request = Request::get("/page")
            .header("host", "s.example")
            .header(STAMP_HEADER, &stamp)
            .header("authorization", format!("Bearer {key}"))
            .body(Empty::<Bytes>::new())?;
        let sent = Instant::now();
        sender.ready().await?;
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        if !status.is_success() {
            return Err(format!("status {status}").into());
        }
        latency.record(sent.elapsed().as_micros() as u64)?;
    }
    Ok(latency)
}

struct LatencySummary {
    median: f64,
    p99: f64,
    throughput: f64,
}

impl LatencySummary {
    fn from_rounds(rounds: &[RoundResult]) -> Self {
        let mut all: Histogram<u64> = rounds[0].latency.clone();
        for round in &rounds[1..] {
            let _ = all.add(&round.latency);
        }
        let seconds: f64 = rounds.iter().map(|round| round.seconds).sum();
        Self {
            median: all.value_at_quantile(0.5) as f64,
            p99: all.value_at_quantile(0.99) as f64,
            throughput: all.len() as f64 / seconds,
        }
    }

    fn print(&self, name: &str) {
        let Self { median, p99, throughput } = self;
        println!(
            "{name:<17} median {median:>7.0} us  p99 {p99:>7.0} us  {throughput:>8.0} a second"
        );
    }
}
