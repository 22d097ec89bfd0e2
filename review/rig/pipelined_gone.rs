//! Clients that send further requests before the first one is answered, and leave before their time budget is over.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use crate::client::read_answer;
use crate::client::request_head;
use crate::server::BodyReading;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::Stage;

const CLIENTS: usize = 12;
const REQUESTS: usize = 3;
/// Time budget of `archivo-familiar`, and its mean work.
const TIME_BUDGET: Duration = Duration::from_secs(8);
const WORK_TIME: Duration = Duration::from_millis(1_440);
/// Time after its last request after which a client leaves.
const PATIENCE: Duration = Duration::from_millis(300);
/// Seconds after a client has left within which its requests may reach a server, and servers may be at work on them.
const SLACK: f64 = 0.5;
/// The rule speaks of more than a few requests.
const FEW: usize = 3;

/// What one client did.
struct Visit {
    client: usize,
    /// Seconds since the start of the rig.
    left_at: f64,
}

pub fn play(stage: &Stage) -> bool {
    let plan = ServerPlan { slots: 16, work: WORK_TIME, answer_bytes: 5_000, reading: BodyReading::Fast };
    let servers: Vec<_> = (0..4)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, stage.network.server(number), plan.clone(), &stage.record).expect("a server does not start")
        })
        .collect();
    for server in &servers {
        stage.store.put("servers", &server.id, server.entry("records", "heredia-a", "ready", 1).as_bytes());
    }
    let hosts = stage.start_hosts(2);
    thread::sleep(Duration::from_secs(4));
    let visits: Vec<Visit> = thread::scope(|scope| {
        let visit = |client: usize| {
            let callers = hosts[client % hosts.len()].callers;
            scope.spawn(move || run_client(stage, callers, client))
        };
        let clients: Vec<_> = (0..CLIENTS).map(visit).collect();
        clients.into_iter().map(|client| client.join().unwrap()).collect()
    });
    thread::sleep(2 * WORK_TIME);
    drop(hosts);

    let (mut late, mut long, mut kept) = (0, 0, 0);
    for run in servers.iter().flat_map(|server| server.runs()) {
        let visit = visits.iter().find(|visit| run.attempt.starts_with(&format!("c{}-", visit.client)));
        let bound = visit.expect("a run of no client").left_at + SLACK;
        late += usize::from(run.at > bound);
        // Requests that had begun before their client left and whose work would last beyond the slack.
        let is_long = run.at < bound && run.at + WORK_TIME.as_secs_f64() > bound;
        long += usize::from(is_long);
        kept += usize::from(is_long && run.ended_at.is_none_or(|ended_at| ended_at > bound));
    }
    stage.record.note(format!("requests that reached a server over half a second after their client had left: {late}"));
    stage.record.note(format!("of {long} requests that would have lasted so long, servers were still at work on {kept}"));
    late <= FEW && kept * 4 <= long
}

/// Sends requests on one connection, each before the one ahead is answered. With the disruption the client leaves soon after;
/// otherwise it waits for all answers.
fn run_client(stage: &Stage, host: SocketAddr, client: usize) -> Visit {
    let mut stream = TcpStream::connect(host).expect("the host takes no connection");
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(TIME_BUDGET)).unwrap();
    let attempts: Vec<String> = (0..REQUESTS).map(|number| format!("c{client}-{number}")).collect();
    for attempt in &attempts {
        stage.record.note(format!("client sends {attempt}"));
        let head = request_head("GET", "/archive/7", attempt, TIME_BUDGET, 0);
        stream.write_all(head.as_bytes()).expect("the request cannot be sent");
        thread::sleep(Duration::from_millis(20));
    }
    match stage.has_trouble {
        true => thread::sleep(PATIENCE),
        false => {
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            for attempt in &attempts {
                let answer = read_answer(&mut reader).expect("the answer is cut");
                assert!(answer.is_success(attempt), "an answer is no success");
                stage.record.note(format!("client gets {attempt}: success"));
            }
        }
    }
    drop(stream);
    stage.record.note(format!("client {client} closes its connection"));
    Visit { client, left_at: stage.record.now() }
}
