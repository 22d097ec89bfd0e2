//! Requests of one connection that run before the HTTP server reaches them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use coordination::pipeline_window::PipelineBounds;
use coordination::pipeline_window::PipelineWindow;
use coordination::pipeline_window::RequestNumber;
use coordination::pipeline_window::RequestOrder;
use futures::future::BoxFuture;
use http::Method;
use http::Request;
use http::Response;
use http::header;
use hyper::body::Body;
use tokio_util::task::AbortOnDropHandle;

use crate::callers::AnswerDue;
use crate::callers::CallerBody;
use crate::callers::HeadScanner;
use crate::callers::ScannedHead;

/// Largest number of heads that are taken out of the input before the HTTP server reaches the first of them.
const MAX_HEADS_AHEAD: usize = 32;

/// When a request was read from its connection, as an extension of the request.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalTime(pub Instant);

/// Whether a request, of which only the head is known, may run beside others of its connection.
pub type IndependenceCheck = Arc<dyn Fn(&Request<()>) -> bool + Send + Sync>;

/// Starts a request and returns its answer.
pub type RequestStarter<B> =
    Box<dyn Fn(Request<CallerBody>) -> BoxFuture<'static, Response<B>> + Send + Sync>;

/// An answer that is in progress.
pub type EarlyAnswer<B> = AbortOnDropHandle<HeldAnswer<B>>;

/// Requests of one connection whose heads have arrived and that the HTTP server has not reached.
pub struct EarlyRequests<B> {
    window: PipelineWindow,
    ahead: VecDeque<AheadRequest<B>>,
    held_bytes: Arc<AtomicU64>,
    check: IndependenceCheck,
    starter: RequestStarter<B>,
}

/// Request that the HTTP server has reached.
pub enum TakenRequest<B> {
    /// The request runs already.
    Started(EarlyAnswer<B>, AnswerDue),
    /// The request is to be started; it arrived at this time if that is known.
    Fresh(Option<Instant>),
}

/// Finished answer whose size counts towards what its connection holds until it is taken.
pub struct HeldAnswer<B> {
    response: Response<B>,
    bytes: u64,
    held_bytes: Arc<AtomicU64>,
}

struct AheadRequest<B> {
    number: RequestNumber,
    head: Request<()>,
    arrived_at: Instant,
    due: AnswerDue,
    answer: Option<EarlyAnswer<B>>,
}

impl<B> HeldAnswer<B> {
    /// Takes the answer, whose size no longer counts.
    pub fn into_response(self) -> Response<B> {
        self.held_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
        self.response
    }
}

impl<B: Body + Send + 'static> EarlyRequests<B> {
    /// Creates the state of a connection without requests. Those that `check` accepts are started early by `starter`.
    pub fn new(
        bounds: PipelineBounds,
        check: IndependenceCheck,
        starter: RequestStarter<B>,
    ) -> Self {
        let window = PipelineWindow::new(bounds);
        let (ahead, held_bytes) = (VecDeque::new(), Arc::default());
        Self { window, ahead, held_bytes, check, starter }
    }

    /// Takes the heads that have arrived out of the input, and starts the requests that may run now.
    pub fn start_ready(&mut self, scanner: &mut HeadScanner) {
        self.take_heads(scanner);
        while let Some(number) = self.window.start_next(self.held_bytes.load(Ordering::Relaxed)) {
            let (held_bytes, starter) = (&self.held_bytes, &self.starter);
            if let Some(request) = self.ahead.iter_mut().find(|request| request.number == number) {
                request.answer = Some(start(request, starter, Arc::clone(held_bytes)));
            }
        }
    }

    /// Takes the request that the HTTP server has reached, whose head is `reached`. If that is another one than the next that
    /// was found in the input, all of them are given up.
    pub fn take<T>(&mut self, reached: &Request<T>, scanner: &mut HeadScanner) -> TakenRequest<B> {
        self.take_heads(scanner);
        let next = match (self.window.reach_next(), self.ahead.pop_front()) {
            (Some(next), Some(request)) if next.number == request.number => request,
            (None, None) if scanner.has_ended() => return TakenRequest::Fresh(None),
            _ => return self.give_up(scanner),
        };
        match next.answer {
            _ if !is_same_head(&next.head, reached) => self.give_up(scanner),
            Some(answer) => TakenRequest::Started(answer, next.due),
            None => TakenRequest::Fresh(Some(next.arrived_at)),
        }
    }

    /// Whether no request is known that the HTTP server has not reached.
    pub fn is_empty(&self) -> bool {
        self.ahead.is_empty()
    }

    /// Whether a request that the HTTP server has not reached has its answer.
    pub fn has_answer(&self) -> bool {
        let mut answers = self.ahead.iter().filter_map(|request| request.answer.as_ref());
        answers.any(AbortOnDropHandle::is_finished)
    }

    /// Whether a request runs, or has its answer, that the HTTP server has not reached.
    pub fn has_started(&self) -> bool {
        self.ahead.iter().any(|request| request.answer.is_some())
    }

    fn take_heads(&mut self, scanner: &mut HeadScanner) {
        while self.ahead.len() < MAX_HEADS_AHEAD {
            let Some(ScannedHead { request, body_bytes, arrived_at }) = scanner.take_head() else {
                break;
            };
            let is_independent = body_bytes == 0
                && !request.headers().contains_key(header::CONTENT_LENGTH)
                && [Method::GET, Method::HEAD].contains(request.method())
                && (self.check)(&request);
            let order = match is_independent {
                true => RequestOrder::Independent,
                false => RequestOrder::Ordered,
            };
            let number = self.window.record_arrival(order);
            let (head, due) = (request, AnswerDue::default());
            self.ahead.push_back(AheadRequest { number, head, arrived_at, due, answer: None });
        }
    }

    fn give_up(&mut self, scanner: &mut HeadScanner) -> TakenRequest<B> {
        self.close(scanner);
        TakenRequest::Fresh(None)
    }

    /// Records that the request which was taken last is answered.
    pub fn record_answer(&mut self) {
        self.window.record_answer();
    }

    /// Cancels all requests that the HTTP server has not reached; no further one starts early.
    pub fn close(&mut self, scanner: &mut HeadScanner) {
        scanner.end();
        self.window.close();
        self.ahead.clear();
    }
}

fn start<B: Body + Send + 'static>(
    request: &AheadRequest<B>,
    starter: &RequestStarter<B>,
    held_bytes: Arc<AtomicU64>,
) -> EarlyAnswer<B> {
    let mut early = request.head.clone().map(|()| CallerBody::empty());
    early.extensions_mut().insert(ArrivalTime(request.arrived_at));
    early.extensions_mut().insert(request.due.clone());
    let answer = starter(early);
    AbortOnDropHandle::new(tokio::spawn(async move {
        let response = answer.await;
        let bytes = response.body().size_hint().lower();
        held_bytes.fetch_add(bytes, Ordering::Relaxed);
        HeldAnswer { response, bytes, held_bytes }
    }))
}

/// Whether two heads are equal in method, URI and all headers, of which one names the caller's attempt.
fn is_same_head<T>(scanned: &Request<()>, reached: &Request<T>) -> bool {
    scanned.method() == reached.method()
        && scanned.uri() == reached.uri()
        && scanned.version() == reached.version()
        && scanned.headers() == reached.headers()
}
