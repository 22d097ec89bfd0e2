//! Runs requests that must run at most once, and remembers how they ended.

use std::sync::Arc;

use bytes::Bytes;
use coordination::outcome_table::KnownOutcome;
use futures::Stream;
use http::Response;
use http_body::Frame;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::callers::AnswerBody;
use crate::callers::AnswerRecorder;
use crate::callers::BodyFault;
use crate::callers::ClaimEnd;
use crate::callers::ClaimHold;
use crate::callers::ClaimLedger;
use crate::callers::DispatchJob;
use crate::callers::Refusal;
use crate::callers::RequestDispatcher;
use crate::callers::StoredAnswer;
use crate::callers::TargetAnswer;
use crate::callers::TicketHold;
use crate::callers::caller_service::full_body;

/// Frames of an answer that wait for a slow caller.
const RELAY_FRAMES: usize = 4;

/// A part of an answer on its way to the caller. Without `End` the answer is cut.
enum RelayPart {
    Frame(Frame<Bytes>),
    Fault(BodyFault),
    End,
}

type OnceReply = Result<Response<AnswerBody>, Refusal>;

/// What makes a request run at most once.
pub enum OncePledge {
    /// The ticket of this process.
    Ticket(TicketHold),
    /// A claim in the store, to be made before the dispatch.
    Claim {
        /// The ledger.
        ledger: ClaimLedger,
        /// The caller's key.
        idempotency_key: Box<str>,
    },
}

enum OnceHold {
    Ticket(TicketHold),
    Claim(ClaimHold),
}

/// Runs a request in a task of its own. A caller that leaves before the dispatch ends it; after that it runs to
/// its end, so that its outcome is known.
pub async fn run_once(
    dispatcher: Arc<RequestDispatcher>,
    job: DispatchJob,
    pledge: OncePledge,
) -> OnceReply {
    let (reply, answer) = oneshot::channel();
    tokio::spawn(run(dispatcher, job, pledge, reply));
    match answer.await {
        Ok(answer) => answer,
        Err(_) => Err(Refusal::unknown(http::StatusCode::BAD_GATEWAY, "outcome-lost")),
    }
}

async fn run(
    dispatcher: Arc<RequestDispatcher>,
    job: DispatchJob,
    pledge: OncePledge,
    mut reply: oneshot::Sender<OnceReply>,
) {
    let admitted = tokio::select! {
        admitted = dispatcher.admit(&job) => admitted,
        () = reply.closed() => return pledge.release(),
    };
    let stage = match admitted {
        Ok(stage) => stage,
        Err(refusal) => {
            pledge.release();
            return send(reply, Err(refusal));
        }
    };
    let hold = match pledge.hold(&job).await {
        Ok(hold) => hold,
        Err(end) => {
            drop(stage);
            return send(reply, end);
        }
    };
    match dispatcher.run(&job, stage).await {
        Ok(answer) => relay(answer, hold, reply).await,
        Err(refusal) => {
            match refusal.not_run {
                true => hold.release(),
                false => hold.settle(KnownOutcome::Unknown),
            }
            send(reply, Err(refusal));
        }
    }
}

async fn relay(answer: TargetAnswer, hold: OnceHold, reply: oneshot::Sender<OnceReply>) {
    let (parts, mut body) = answer.into_parts();
    let mut recorder = AnswerRecorder::new(&parts);
    let (sender, receiver) = mpsc::channel(RELAY_FRAMES);
    let stream = StreamBody::new(relay_stream(receiver));
    send(reply, Ok(Response::from_parts(parts, stream.boxed_unsync())));
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    recorder.take(data);
                }
                let _ = sender.send(RelayPart::Frame(frame)).await;
            }
            Some(Err(fault)) => {
                hold.settle(KnownOutcome::Unknown);
                let _ = sender.send(RelayPart::Fault(fault)).await;
                return;
            }
            None => {
                hold.settle(KnownOutcome::Answered(recorder.finish()));
                let _ = sender.send(RelayPart::End).await;
                return;
            }
        }
    }
}

fn relay_stream(
    receiver: mpsc::Receiver<RelayPart>,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyFault>> + Send {
    let lost = || BodyFault::Cut { reason: "the relay ended".into() };
    futures::stream::unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(RelayPart::Frame(frame)) => Some((Ok(frame), Some(receiver))),
            Some(RelayPart::Fault(fault)) => Some((Err(fault), None)),
            Some(RelayPart::End) => None,
            None => Some((Err(lost()), None)),
        }
    })
}

impl OncePledge {
    fn release(self) {
        if let Self::Ticket(hold) = self {
            hold.release();
        }
    }

    async fn hold(self, job: &DispatchJob) -> Result<OnceHold, OnceReply> {
        let (ledger, idempotency_key) = match self {
            Self::Ticket(hold) => return Ok(OnceHold::Ticket(hold)),
            Self::Claim { ledger, idempotency_key } => (ledger, idempotency_key),
        };
        let customer = job.plan.customer().map_or("", |customer| &**customer);
        match ledger.claim(customer, &job.plan.service, &idempotency_key).await {
            Ok(ClaimEnd::Run(hold)) => Ok(OnceHold::Claim(hold)),
            Ok(ClaimEnd::Taken(outcome)) => Err(known_reply(&outcome)),
            Err(refusal) => Err(Err(refusal)),
        }
    }
}

impl OnceHold {
    fn release(self) {
        match self {
            Self::Ticket(hold) => hold.release(),
            Self::Claim(hold) => hold.release(),
        }
    }

    fn settle(self, outcome: KnownOutcome<StoredAnswer>) {
        match self {
            Self::Ticket(hold) => hold.settle(outcome),
            Self::Claim(hold) => hold.settle(outcome),
        }
    }
}

/// The reply to a request that has run before.
pub fn known_reply(outcome: &KnownOutcome<StoredAnswer>) -> OnceReply {
    match outcome {
        KnownOutcome::Answered(answer) => Ok(answer.response().map(full_body)),
        KnownOutcome::Unknown => {
            Err(Refusal::unknown(http::StatusCode::CONFLICT, "outcome-unknown"))
        }
    }
}

fn send(reply: oneshot::Sender<OnceReply>, answer: OnceReply) {
    let _ = reply.send(answer);
}
