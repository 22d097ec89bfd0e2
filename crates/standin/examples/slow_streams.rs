//! Keeps many slow streams open through one host, which runs in a separate process so that its memory can be read.
//!
//! `slow_streams STORE OPERATORS CALLERS STREAMS SECONDS`: starts a store at STORE and a target, waits for the host
//! that listens at OPERATORS and CALLERS, and prints `streaming` once every request for a stream has been sent.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use serde_json::json;
use standin::json_client::JsonClient;
use standin::store::StoreStandin;
use standin::target_standin::TargetBehaviour;
use standin::target_standin::TargetStandin;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

type ExampleError = Box<dyn std::error::Error + Send + Sync>;

const TOKEN: &str = "slow-streams";
const MAX_STREAMS: usize = 2_000;
const STREAM_BYTES: usize = 1 << 30;
const READ_BYTES: usize = 4 << 10;
const READ_PAUSE: Duration = Duration::from_millis(250);

#[tokio::main]
async fn main() -> Result<(), ExampleError> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [store, operators, callers, streams, seconds] = &arguments[..] else {
        return Err("slow_streams STORE OPERATORS CALLERS STREAMS SECONDS".into());
    };
    let _store = StoreStandin::start(store.parse()?).await?;
    let behaviour = TargetBehaviour { slots: 10_000, work_ms: 0, ..TargetBehaviour::default() };
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let target = TargetStandin::start("t".into(), any_port, behaviour).await?;
    let key = apply_configuration_and_grant_key(
        &JsonClient::with_token(operators.parse()?, TOKEN),
        &target,
    )
    .await?;
    let callers: SocketAddr = callers.parse()?;
    let count = streams.parse::<usize>()?.min(MAX_STREAMS);
    let end = Instant::now() + Duration::from_secs(seconds.parse()?);
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        let mut stream = open_stream(callers, &key).await?;
        tasks.spawn(async move {
            let mut buffer = vec![0; READ_BYTES];
            while Instant::now() < end && stream.read_exact(&mut buffer).await.is_ok() {
                tokio::time::sleep(READ_PAUSE).await;
            }
            Instant::now() >= end
        });
    }
    println!("streaming");
    let alive = tasks.join_all().await.into_iter().filter(|is_alive| *is_alive).count();
    println!("streams alive at the end {alive} of {count}");
    Ok(())
}

async fn open_stream(address: SocketAddr, key: &str) -> Result<TcpStream, ExampleError> {
    let mut stream = TcpStream::connect(address).await?;
    let text = format!(
        "GET /stream/bytes/{STREAM_BYTES} HTTP/1.1\r\nhost: s.example\r\nauthorization: Bearer {key}\r\n\r\n"
    );
    stream.write_all(text.as_bytes()).await?;
    Ok(stream)
}

async fn apply_configuration_and_grant_key(
    operators: &JsonClient,
    target: &TargetStandin,
) -> Result<Box<str>, ExampleError> {
    let objects = [
        json!({ "kind": "domain", "name": "d", "region": "r" }),
        json!({ "kind": "service", "name": "s", "hosts": ["s.example"],
                "routes": [{ "name": "r", "path_prefix": "/", "repeatable": true }] }),
        json!({ "kind": "target", "name": "t", "service": "s", "failure_domain": "d",
                "address": target.address(), "slots": 10_000, "warm_up_seconds": 0 }),
        json!({ "kind": "profile", "name": "p" }),
        json!({ "kind": "assignment", "name": "a", "service": "s", "profile": "p" }),
        json!({ "kind": "customer", "name": "a", "rate_per_second": 1e6, "burst": 1e6,
                "services": ["s"] }),
    ];
    let changes: Vec<_> =
        objects.iter().map(|object| json!({ "operation": "put", "object": object })).collect();
    let end = Instant::now() + Duration::from_secs(30);
    loop {
        let changes = json!({ "changes": changes });
        match operators.call(Method::POST, "/v1/apply", changes).await {
            Ok(_) => break,
            Err(error) if Instant::now() >= end => return Err(error.to_string().into()),
            Err(_) => tokio::time::sleep(Duration::from_millis(200)).await,
        }
    }
    let granted = operators.call(Method::POST, "/v1/keys", json!({ "customer": "a" })).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    Ok(granted["key"].as_str().unwrap_or_default().into())
}
