//! Planned stops at random moments of connections.

use std::net::SocketAddr;
use std::time::Duration;

use buckthornturn::callers::ServerPhase;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::pipelining_server::Journal;
use crate::pipelining_server::get;
use crate::pipelining_server::post;
use crate::pipelining_server::read_whole_answers;
use crate::pipelining_server::start_server;

/// Connections that are open while the server of one seed stops.
const STOPPED_CONNECTIONS: usize = 12;
const SHORT_SOAK_SEEDS: u64 = 6;
const LONG_SOAK_SEEDS: u64 = 200;

/// Request of a caller that sends several ahead, on a path of its own.
fn draw_request(rng: &mut StdRng, connection: usize, number: usize) -> String {
    let (work_ms, name) = (rng.random_range(0..500), format!("{connection}/{number}"));
    match rng.random_range(0..10) {
        0 => post(&format!("/{name}"), work_ms),
        1 => get(&format!("/once/{name}"), work_ms),
        2 => get(&format!("/large/{name}"), work_ms),
        _ => get(&format!("/{name}"), work_ms),
    }
}

/// Sends requests with pauses between some of them, and checks that the server answers all that it begins, in order.
async fn check_connection(address: SocketAddr, journal: Journal, seed: u64, connection: usize) {
    let mut rng = StdRng::seed_from_u64(seed * STOPPED_CONNECTIONS as u64 + connection as u64);
    let count = rng.random_range(1..=8);
    let requests: Vec<String> =
        (0..count).map(|number| draw_request(&mut rng, connection, number)).collect();
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let texts = requests.clone();
    let sender = tokio::spawn(async move {
        for text in texts {
            if rng.random_bool(0.3) {
                tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
            }
            if writer.write_all(text.as_bytes()).await.is_err() {
                break;
            }
        }
        writer
    });
    let answers = read_whole_answers(&mut reader, count + 1).await;
    let _writer = sender.await.unwrap();
    let paths: Vec<String> =
        requests.iter().map(|text| text.split(' ').nth(1).unwrap().to_owned()).collect();
    let answered: Vec<&str> = answers.iter().map(|answer| &*answer.body).collect();
    assert_eq!(answered, paths[..answered.len()], "seed {seed}");
    let begun = journal.begun().into_iter().filter(|path| paths.contains(path)).count();
    assert_eq!(begun, answered.len(), "seed {seed}: begun of {paths:?}, {answers:?}");
    let closing = answers.iter().position(|answer| answer.closes);
    assert!(closing.is_none_or(|place| place + 1 == answers.len()), "seed {seed}: {answers:?}");
}

async fn check_stop(seed: u64) {
    let (phase, journal) = (watch::Sender::new(ServerPhase::Serving), Journal::default());
    let address = start_server(&phase, &journal, true).await;
    let mut rng = StdRng::seed_from_u64(seed);
    let connections = (0..STOPPED_CONNECTIONS)
        .map(|connection| check_connection(address, journal.clone(), seed, connection));
    let stop = async {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..600))).await;
        phase.send_replace(ServerPhase::Leaving);
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..400))).await;
        phase.send_replace(ServerPhase::Closing);
    };
    futures::join!(futures::future::join_all(connections), stop);
}

/// Guards against a stop that cuts requests which run, at whatever moment of their connections it comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_stop_at_any_moment_answers_all_that_runs() {
    for seed in 0..SHORT_SOAK_SEEDS {
        check_stop(seed).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "200 seeds, to be run by hand"]
async fn a_stop_at_any_moment_of_many_seeds_answers_all_that_runs() {
    for seed in 0..LONG_SOAK_SEEDS {
        check_stop(seed).await;
    }
}
