//! Uploads to servers that read nothing for some seconds, at a host that gets SIGTERM.

use std::thread;
use std::time::Duration;

use crate::client::send;
use crate::deployment::SIGTERM;
use crate::server::BodyReading;
use crate::server::Server;
use crate::server::ServerPlan;
use crate::Stage;

const CLIENTS: usize = 4;
/// Time budget and mean work of `yield-upload`, and the longest body in the site files.
const TIME_BUDGET: Duration = Duration::from_secs(5);
const WORK_TIME: Duration = Duration::from_millis(1_040);
const BODY_BYTES: usize = 360_000;
/// Time for which a server reads nothing.
const READ_TIME: Duration = Duration::from_millis(2_800);

pub fn play(stage: &Stage) -> bool {
    // Without the disruption a server reads at once, and takes as long in all.
    let plan = match stage.has_trouble {
        true => ServerPlan { slots: 16, work: WORK_TIME, answer_bytes: 500, reading: BodyReading::Paused(READ_TIME) },
        false => ServerPlan { slots: 16, work: READ_TIME + WORK_TIME, answer_bytes: 500, reading: BodyReading::Fast },
    };
    let servers: Vec<_> = (0..3)
        .map(|number| {
            let id = format!("i-{number}");
            Server::start(&id, stage.network.server(number), plan.clone(), &stage.record).expect("a server does not start")
        })
        .collect();
    for server in &servers {
        stage.store.put("servers", &server.id, server.entry("files", "heredia-a", "ready", 1).as_bytes());
    }
    let hosts = stage.start_hosts(2);
    thread::sleep(Duration::from_secs(4));
    let callers = hosts[0].callers;
    let send_upload = |client: usize| {
        let attempt = format!("c{client}");
        stage.record.note(format!("client sends {attempt}, body of {BODY_BYTES} bytes"));
        let body = vec![b'b'; BODY_BYTES];
        let answer = send(callers, "POST", "/uploads/1", &attempt, TIME_BUDGET, &body);
        let text = match &answer {
            Ok(answer) if answer.is_success(&attempt) => "success".to_owned(),
            Ok(answer) => format!("status {} {}", answer.status, String::from_utf8_lossy(&answer.body)),
            Err(error) => format!("no whole answer: {error}"),
        };
        stage.record.note(format!("client gets {attempt}: {text}"));
        usize::from(text != "success")
    };
    let broken: usize = thread::scope(|scope| {
        let send_upload = &send_upload;
        let clients: Vec<_> = (0..CLIENTS).map(|client| scope.spawn(move || send_upload(client))).collect();
        thread::sleep(Duration::from_millis(500));
        stage.record.note("SIGTERM to the first host");
        hosts[0].signal(SIGTERM);
        clients.into_iter().map(|client| client.join().unwrap()).sum()
    });
    // Until the servers read on.
    thread::sleep(READ_TIME);
    stage.record.note(format!("uploads that were broken off while their server was at work: {broken}"));
    broken == 0
}
