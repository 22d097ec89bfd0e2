//! Target that may answer before it has read a request, on a plain TCP socket.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::network::LinkTable;
use crate::platform::ArrivalRecord;
use crate::platform::BodyLedger;
use crate::platform::request_reader::BodyFraming;
use crate::platform::request_reader::HeadFields;
use crate::platform::request_reader::ReadFault;
use crate::platform::request_reader::RequestReader;

/// Point of a request at which a target answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerPoint {
    /// As soon as the head was read.
    Head,
    /// After so many bytes of the body, or at its end.
    Bytes(usize),
    /// After the whole body.
    End,
}

/// Answer of a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerKind {
    /// Status 503, and the statement that the request was not run.
    Refusal,
    /// Signed success.
    Success,
    /// Status 500; the request counts as run.
    Failure,
    /// The connection is closed without an answer.
    Closed,
}

/// What a target does with a request.
#[derive(Clone, Copy, Debug)]
pub struct AnswerStep {
    /// Point of the request at which the target answers.
    pub point: AnswerPoint,
    /// Answer.
    pub kind: AnswerKind,
    /// Time after an early answer until the target reads on.
    pub pause: Duration,
    /// Time by which new connections are delayed after the answer.
    pub dial_delay: Duration,
    /// Length to which the body of the answer is filled up, in bytes.
    pub body_bytes: usize,
    /// Number of times that the answer is sent.
    pub copies: usize,
    /// Whether the connection is closed right after the answer.
    pub closes: bool,
}

/// Running target; dropping it stops the server.
#[derive(Debug)]
pub struct EarlyTarget {
    name: Box<str>,
    address: SocketAddr,
    _tasks: JoinSet<()>,
}

struct TargetPlan {
    name: Box<str>,
    steps: Box<[AnswerStep]>,
    ledger: BodyLedger,
    links: Arc<LinkTable>,
}

impl AnswerPoint {
    fn is_reached(self, read_bytes: usize) -> bool {
        match self {
            Self::Head => true,
            Self::Bytes(bytes) => read_bytes >= bytes,
            Self::End => false,
        }
    }
}

impl AnswerKind {
    fn is_run(self) -> bool {
        self != Self::Refusal
    }
}

impl AnswerStep {
    /// Runs requests after the whole body was read.
    pub const RUN: Self = Self::new(AnswerPoint::End, AnswerKind::Success);

    /// Answers at a point, and reads on at once.
    pub const fn new(point: AnswerPoint, kind: AnswerKind) -> Self {
        let (pause, dial_delay) = (Duration::ZERO, Duration::ZERO);
        Self { point, kind, pause, dial_delay, body_bytes: 0, copies: 1, closes: false }
    }

    /// Reads on after a pause.
    pub const fn with_pause(self, pause: Duration) -> Self {
        Self { pause, ..self }
    }

    /// Fills the body of the answer up to a length.
    pub const fn with_body(self, body_bytes: usize) -> Self {
        Self { body_bytes, ..self }
    }

    /// Sends the answer twice.
    pub const fn sent_twice(self) -> Self {
        Self { copies: 2, ..self }
    }

    /// Closes the connection right after the answer, whatever of the request is still to come.
    pub const fn then_closing(self) -> Self {
        Self { closes: true, ..self }
    }

    /// Delays new connections from the answer on.
    pub const fn with_dial_delay(self, dial_delay: Duration) -> Self {
        Self { dial_delay, ..self }
    }
}

impl EarlyTarget {
    /// Starts a target on a loopback address. The targets of one ledger take the steps together: the first one that gets an
    /// attempt takes the first step, and the last step is taken by all that follow. GET requests are run. `links` gets the
    /// delay of new connections after each answer to another request.
    ///
    /// # Errors
    ///
    /// Fails if no port is free.
    pub async fn start(
        name: &str,
        steps: &[AnswerStep],
        ledger: BodyLedger,
        links: Arc<LinkTable>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let plan = Arc::new(TargetPlan { name: name.into(), steps: steps.into(), ledger, links });
        let mut tasks = JoinSet::new();
        tasks.spawn(async move {
            let mut connections = JoinSet::new();
            while let Ok((stream, _)) = listener.accept().await {
                while connections.try_join_next().is_some() {}
                connections.spawn(serve_connection(stream, Arc::clone(&plan)));
            }
        });
        Ok(Self { name: name.into(), address, _tasks: tasks })
    }

    /// Address that the target listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Name of the instance, which requests must carry in `x-target-instance`.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Entry that the target writes to the store to register itself.
    pub fn entry(&self, service: &str, zone: &str) -> Value {
        json!({
            "address": self.address().to_string(),
            "born": 1_700_000_000_000_u64,
            "info": { "backend_service": service, "version": "v1", "zone": zone, "slots": 16 },
            "status": { "state": "ready", "sequence": 1, "cold_remaining_ms": 0 },
        })
    }
}

async fn serve_connection(stream: TcpStream, plan: Arc<TargetPlan>) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut reader = RequestReader::new(reader);
    loop {
        let head = match reader.read_head().await {
            Ok(Some(head)) => head,
            Ok(None) | Err(ReadFault::Ended) => return,
            Err(ReadFault::NoHttp(bytes)) => {
                plan.ledger.record_fault(&plan.name, "", &bytes);
                return;
            }
        };
        let arrival = ArrivalRecord {
            target: plan.name.clone(),
            attempt_id: head.attempt_id.clone(),
            method: head.method.clone(),
            path: head.path.clone(),
            ..ArrivalRecord::default()
        };
        let (place, earlier) = plan.ledger.record_arrival(arrival);
        let step = plan.choose_step(&head, earlier);
        if !serve_request(&mut reader, &mut writer, &plan, (place, &head, step)).await {
            return;
        }
    }
}

/// Answers a request and reads it to its end. Returns whether the connection is kept.
async fn serve_request(
    reader: &mut RequestReader,
    writer: &mut (impl AsyncWriteExt + Unpin),
    plan: &TargetPlan,
    (place, head, step): (usize, &HeadFields, AnswerStep),
) -> bool {
    let mut framing = head.framing;
    let mut is_answered = false;
    let mut read_bytes = 0;
    loop {
        let is_complete = framing == BodyFraming::Complete;
        plan.ledger.update_arrival(place, |arrival| arrival.is_complete = is_complete);
        if !is_answered && (is_complete || step.point.is_reached(read_bytes)) {
            is_answered = true;
            if !plan.answer(writer, place, head, step).await {
                plan.ledger.update_arrival(place, |arrival| arrival.is_cut = !is_complete);
                return false;
            }
            if !is_complete {
                tokio::time::sleep(step.pause).await;
            }
        }
        if is_complete {
            return true;
        }
        match reader.read_body(&mut framing).await {
            Ok(bytes) => {
                read_bytes += bytes.len();
                plan.ledger.update_arrival(place, |arrival| arrival.body.extend(bytes));
            }
            Err(fault) => {
                plan.ledger.update_arrival(place, |arrival| arrival.is_cut = true);
                if let ReadFault::NoHttp(bytes) = fault {
                    plan.ledger.record_fault(&plan.name, &head.attempt_id, &bytes);
                }
                return false;
            }
        }
    }
}

impl TargetPlan {
    fn choose_step(&self, head: &HeadFields, earlier: usize) -> AnswerStep {
        let step = self.steps.get(earlier).or(self.steps.last());
        match step {
            Some(step) if &*head.method != "GET" => *step,
            _ => AnswerStep::RUN,
        }
    }

    /// Records the end of a request and answers it. Returns whether the connection is kept.
    async fn answer(
        &self,
        writer: &mut (impl AsyncWriteExt + Unpin),
        place: usize,
        head: &HeadFields,
        step: AnswerStep,
    ) -> bool {
        let is_named = head.target == self.name;
        self.ledger.update_arrival(place, |arrival| {
            arrival.is_run = is_named && step.kind.is_run();
        });
        if &*head.method != "GET" {
            self.links.set_dial_delay(step.dial_delay);
        }
        for _ in 0..step.copies {
            if !write_answer(writer, head, is_named, step).await {
                return false;
            }
        }
        !step.closes
    }
}

/// Writes an answer, whose body names the attempt. Returns whether the connection is kept.
async fn write_answer(
    writer: &mut (impl AsyncWriteExt + Unpin),
    head: &HeadFields,
    is_named: bool,
    step: AnswerStep,
) -> bool {
    let (status, line) = match step.kind {
        _ if !is_named => ("421 Misdirected Request", "x-not-executed: 1"),
        AnswerKind::Refusal => ("503 Service Unavailable", "x-not-executed: 1"),
        AnswerKind::Success => ("200 OK", "x-server-signature: s"),
        AnswerKind::Failure => ("500 Internal Server Error", "x-server-signature: s"),
        AnswerKind::Closed => return false,
    };
    let body = format!("answer to {}", head.attempt_id);
    let body = format!("{body}{}", ".".repeat(step.body_bytes.saturating_sub(body.len())));
    let answer = format!(
        "HTTP/1.1 {status}\r\nx-attempt-id: {}\r\nx-server-load: 1,0,16\r\n{line}\r\ncontent-length: {}\r\n\r\n{body}",
        head.attempt_id,
        body.len(),
    );
    writer.write_all(answer.as_bytes()).await.is_ok()
}
