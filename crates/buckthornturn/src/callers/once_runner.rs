//! Runs requests that must run at most once, and records their outcomes.

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
use crate::callers::ClaimGuard;
use crate::callers::ClaimLedger;
use crate::callers::ClaimResult;
use crate::callers::DispatchJob;
use crate::callers::Refusal;
use crate::callers::RequestDispatcher;
use crate::callers::StoredAnswer;
use crate::callers::TargetAnswer;
use crate::callers::TicketGuard;
use crate::callers::caller_service::full_body;

/// Largest number of frames of an answer that are buffered for a slow caller.
const RELAY_BUFFER_FRAMES: usize = 4;

/// Message from the task that reads an answer to the stream that the caller reads. If the channel closes without
/// `End`, the caller sees a truncated answer.
enum RelayMessage {
    Frame(Frame<Bytes>),
    Fault(BodyFault),
    End,
}

type OnceReply = Result<Response<AnswerBody>, Refusal>;

/// Mechanism that keeps a request from running twice.
pub enum OnceGuarantee {
    /// A ticket that this process issued, with the permission to run its request.
    Ticket(TicketGuard),
    /// An idempotency key, which is claimed in the store after admission and before the dispatch.
    Claim {
        /// Ledger in which the key is claimed.
        ledger: ClaimLedger,
        /// Value of the `Idempotency-Key` header.
        idempotency_key: Box<str>,
    },
}

enum OnceGuard {
    Ticket(TicketGuard),
    Claim(ClaimGuard),
}

/// Runs a request in a task of its own. If the caller disconnects while the request waits for admission, the request
/// is dropped. After admission it runs to its end, so that its outcome is known.
pub async fn run_once(
    dispatcher: Arc<RequestDispatcher>,
    job: DispatchJob,
    guarantee: OnceGuarantee,
) -> OnceReply {
    let (reply, answer) = oneshot::channel();
    tokio::spawn(run_task(dispatcher, job, guarantee, reply));
    match answer.await {
        Ok(answer) => answer,
        Err(_) => Err(Refusal::unknown(http::StatusCode::BAD_GATEWAY, "outcome-lost")),
    }
}

async fn run_task(
    dispatcher: Arc<RequestDispatcher>,
    job: DispatchJob,
    guarantee: OnceGuarantee,
    mut reply: oneshot::Sender<OnceReply>,
) {
    let admitted = tokio::select! {
        admitted = dispatcher.admit(&job) => admitted,
        () = reply.closed() => return guarantee.release(),
    };
    let stage = match admitted {
        Ok(stage) => stage,
        Err(refusal) => {
            guarantee.release();
            return send_reply(reply, Err(refusal));
        }
    };
    let guard = match guarantee.acquire(&job).await {
        Ok(guard) => guard,
        Err(reply_now) => {
            drop(stage);
            return send_reply(reply, reply_now);
        }
    };
    match dispatcher.run(&job, stage).await {
        Ok(answer) => relay_answer(answer, guard, reply).await,
        Err(refusal) => {
            match refusal.not_run {
                true => guard.release(),
                false => guard.settle(KnownOutcome::Unknown),
            }
            send_reply(reply, Err(refusal));
        }
    }
}

async fn relay_answer(answer: TargetAnswer, guard: OnceGuard, reply: oneshot::Sender<OnceReply>) {
    let (parts, mut body) = answer.into_parts();
    let mut recorder = AnswerRecorder::new(&parts);
    let (sender, receiver) = mpsc::channel(RELAY_BUFFER_FRAMES);
    let stream = StreamBody::new(relay_stream(receiver));
    send_reply(reply, Ok(Response::from_parts(parts, stream.boxed_unsync())));
    loop {
        match body.frame().await {
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    recorder.record_data(data);
                }
                let _ = sender.send(RelayMessage::Frame(frame)).await;
            }
            Some(Err(fault)) => {
                guard.settle(KnownOutcome::Unknown);
                let _ = sender.send(RelayMessage::Fault(fault)).await;
                return;
            }
            None => {
                guard.settle(KnownOutcome::Answered(recorder.finish()));
                let _ = sender.send(RelayMessage::End).await;
                return;
            }
        }
    }
}

fn relay_stream(
    receiver: mpsc::Receiver<RelayMessage>,
) -> impl Stream<Item = Result<Frame<Bytes>, BodyFault>> + Send {
    let relay_lost =
        || BodyFault::Truncated { reason: "the task that relays the answer ended".into() };
    futures::stream::unfold(Some(receiver), move |receiver| async move {
        let mut receiver = receiver?;
        match receiver.recv().await {
            Some(RelayMessage::Frame(frame)) => Some((Ok(frame), Some(receiver))),
            Some(RelayMessage::Fault(fault)) => Some((Err(fault), None)),
            Some(RelayMessage::End) => None,
            None => Some((Err(relay_lost()), None)),
        }
    })
}

impl OnceGuarantee {
    fn release(self) {
        if let Self::Ticket(guard) = self {
            guard.release();
        }
    }

    async fn acquire(self, job: &DispatchJob) -> Result<OnceGuard, OnceReply> {
        let (ledger, idempotency_key) = match self {
            Self::Ticket(guard) => return Ok(OnceGuard::Ticket(guard)),
            Self::Claim { ledger, idempotency_key } => (ledger, idempotency_key),
        };
        let customer = job.plan.customer().map_or("", |customer| &**customer);
        match ledger.claim(customer, &job.plan.service, &idempotency_key).await {
            Ok(ClaimResult::Granted(guard)) => Ok(OnceGuard::Claim(guard)),
            Ok(ClaimResult::Taken(outcome)) => Err(reply_from_outcome(&outcome)),
            Err(refusal) => Err(Err(refusal)),
        }
    }
}

impl OnceGuard {
    fn release(self) {
        match self {
            Self::Ticket(guard) => guard.release(),
            Self::Claim(guard) => guard.release(),
        }
    }

    fn settle(self, outcome: KnownOutcome<StoredAnswer>) {
        match self {
            Self::Ticket(guard) => guard.settle(outcome),
            Self::Claim(guard) => guard.settle(outcome),
        }
    }
}

/// Reply to a repeated request: the recorded answer, or a refusal if the outcome is unknown.
pub fn reply_from_outcome(outcome: &KnownOutcome<StoredAnswer>) -> OnceReply {
    match outcome {
        KnownOutcome::Answered(answer) => Ok(answer.response().map(full_body)),
        KnownOutcome::Unknown => {
            Err(Refusal::unknown(http::StatusCode::CONFLICT, "outcome-unknown"))
        }
    }
}

fn send_reply(reply: oneshot::Sender<OnceReply>, answer: OnceReply) {
    let _ = reply.send(answer);
}
