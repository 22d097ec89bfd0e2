//! Serves the requests of one connection.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Poll;
use std::time::Duration;

use coordination::admission_budget::AdmissionBudget;
use coordination::pipeline_window::PipelineBounds;
use futures::FutureExt;
use futures::future::BoxFuture;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::Version;
use http::header;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto::Builder;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::sync::watch;

use crate::callers::AnswerDue;
use crate::callers::ArrivalTime;
use crate::callers::CallerBody;
use crate::callers::ConnectionRequests;
use crate::callers::EarlyRequests;
use crate::callers::HeadBounds;
use crate::callers::HeadScanner;
use crate::callers::IndependenceCheck;
use crate::callers::OpenRequest;
use crate::callers::ReadAhead;
use crate::callers::RequestStarter;
use crate::callers::ServerPhase;
use crate::callers::SharedStream;
use crate::callers::TakenRequest;
use crate::callers::connection_server::wait_until_closing;
use crate::callers::connection_server::wait_until_ending;
use crate::resources::ConnectionMeter;
use crate::resources::GuardedBody;
use crate::resources::RequestGuard;

/// Time to receive requests that are under way on the connections accepted last, before the connections are shut
/// down.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Input of a connection that is read before the HTTP server asks for it, beyond the server's own buffer. Many small requests
/// fit, and thousands of connections do on the smallest host.
const MAX_READ_AHEAD_BYTES: usize = 16 << 10;

/// Pause between two looks whether answers wait behind a request that runs while the server ends.
const DUE_CHECK_PAUSE: Duration = Duration::from_millis(20);

/// Answer to one request; its body ends the request in the meter of its connection.
type ServiceFuture<B> =
    BoxFuture<'static, Result<Response<GuardedBody<B, Option<RequestGuard>>>, Infallible>>;

/// Which requests of a connection run side by side.
#[derive(Clone)]
pub struct Pipelining {
    /// Bounds of each connection.
    pub bounds: PipelineBounds,
    /// Bounds of the heads that the HTTP server accepts.
    pub heads: HeadBounds,
    /// Whether a request without a body may run beside others.
    pub check: IndependenceCheck,
}

/// One connection and the state that its HTTP service shares with the task which polls it.
pub struct ConnectionTask<S, B> {
    shared: Arc<ConnectionState<S, B>>,
    meter: Option<ConnectionMeter>,
}

struct ConnectionState<S, B> {
    stream: SharedStream<ReadAhead<S>>,
    requests: ConnectionRequests,
    /// `None` if the requests of the connection run one after another.
    early: Option<Mutex<EarlyRequests<B>>>,
    starter: RequestStarter<B>,
    phase: watch::Receiver<ServerPhase>,
    /// Signal to the request that the HTTP server has reached last.
    current: Mutex<AnswerDue>,
}

impl<S, B> ConnectionTask<S, B>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    /// Creates the task of a connection that was accepted from `peer`.
    pub fn new<H, F>(
        stream: S,
        pipelining: Option<&Pipelining>,
        handler: H,
        peer: SocketAddr,
        phase: watch::Receiver<ServerPhase>,
    ) -> Self
    where
        H: Fn(Request<CallerBody>, SocketAddr) -> F + Clone + Send + Sync + 'static,
        F: Future<Output = Response<B>> + Send + 'static,
    {
        let starter = |handler: H| -> RequestStarter<B> {
            Box::new(move |request| handler(request, peer).boxed())
        };
        let (scanner, early) = match pipelining {
            Some(Pipelining { bounds, heads, check }) => {
                let early =
                    EarlyRequests::new(*bounds, Arc::clone(check), starter(handler.clone()));
                (HeadScanner::new(*heads), Some(Mutex::new(early)))
            }
            None => (HeadScanner::disabled(), None),
        };
        let stream = SharedStream::new(ReadAhead::new(stream, MAX_READ_AHEAD_BYTES, scanner));
        let requests = ConnectionRequests::default();
        let starter = starter(handler);
        let current = Mutex::default();
        let shared = ConnectionState { stream, requests, early, starter, phase, current };
        Self { shared: Arc::new(shared), meter: None }
    }

    /// Sets the budget that input read ahead draws on.
    pub fn with_budget(self, budget: Option<&Arc<AdmissionBudget>>) -> Self {
        if let Some(budget) = budget {
            self.shared.stream.lock().set_budget(Arc::clone(budget));
        }
        self
    }

    /// Sets the meter in which requests of the connection are recorded.
    pub fn with_meter(self, meter: Option<ConnectionMeter>) -> Self {
        Self { meter, ..self }
    }

    /// Serves the connection until it ends or lacks its first request. Once the server closes, no further request is read.
    pub async fn run(self, builder: &Builder<TokioExecutor>, head_timeout: Duration) {
        let shared = &self.shared;
        let service = Arc::clone(shared);
        let meter = self.meter.clone();
        let service = service_fn(move |mut request| -> ServiceFuture<B> {
            let guard = meter.as_ref().map(|meter| meter.start_request(&mut request));
            let answer = Arc::clone(&service).serve(request);
            answer.map(|result| result.map(|response| guard_answer(response, guard))).boxed()
        });
        let io = TokioIo::new(shared.stream.clone());
        {
            let mut connection = pin!(builder.serve_connection(io, service));
            let mut phase = shared.phase.clone();
            let is_closing = tokio::select! {
                () = shared.drive(connection.as_mut()) => false,
                () = wait_for_missing_request(&shared.requests, head_timeout) => false,
                () = wait_until_settled(&mut phase) => true,
            };
            let is_open = is_closing && shared.finish_started(connection.as_mut()).await;
            if is_open {
                connection.as_mut().graceful_shutdown();
                shared.drive(connection).await;
            }
        }
        shared.close_early();
        shared.stream.clone().close().await;
    }
}

impl<S, B> ConnectionState<S, B>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    B: Body + Send + 'static,
{
    /// Polls the HTTP server until the connection ends, or its peer has left without the answer.
    async fn drive<C: Future>(&self, connection: Pin<&mut C>) {
        self.drive_until(connection, || false).await;
    }

    /// Polls the HTTP server, and reads ahead while it waits for an answer, as it does not read itself while it holds a part of
    /// a further request. Returns `false` when the connection has ended, or its peer has left without the answer, and `true`
    /// once `is_done` while it is open.
    async fn drive_until<C: Future>(
        &self,
        mut connection: Pin<&mut C>,
        is_done: impl Fn() -> bool,
    ) -> bool {
        std::future::poll_fn(|context| {
            loop {
                if connection.as_mut().poll(context).is_ready() {
                    return Poll::Ready(false);
                }
                if is_done() {
                    return Poll::Ready(true);
                }
                if !self.requests.is_waiting() {
                    return Poll::Pending;
                }
                let mut stream = self.stream.lock();
                let has_read = stream.fill(context);
                if stream.has_ended() {
                    return Poll::Ready(false);
                }
                if let Some(mut early) = self.lock_early().filter(|_| !self.is_leaving()) {
                    let has_requests = !early.is_empty() || !stream.scanner().is_idle();
                    if has_requests && stream.has_room() {
                        early.start_ready(stream.scanner());
                    }
                }
                // The HTTP server may have asked for these bytes, and is woken by the stream only.
                if !has_read {
                    return Poll::Pending;
                }
            }
        })
        .await
    }

    /// Serves the connection until the last request that was started is reached. Returns whether it is open then.
    async fn finish_started<C: Future>(&self, connection: Pin<&mut C>) -> bool {
        let mut phase = self.phase.clone();
        let ask_for_answers = async {
            wait_until_ending(&mut phase).await;
            loop {
                if self.lock_early().is_some_and(|early| early.has_answer()) {
                    self.current.lock().unwrap_or_else(PoisonError::into_inner).ask();
                }
                tokio::time::sleep(DUE_CHECK_PAUSE).await;
            }
        };
        tokio::select! {
            is_open = self.drive_until(connection, || !self.has_started_ahead()) => is_open,
            () = ask_for_answers => true,
        }
    }

    fn serve(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<B>, Infallible>> {
        self.requests.record_begin();
        let request = CallerBody::wrap_request(request);
        if request.version() > Version::HTTP_11 {
            self.stream.lock().scanner().end();
            return (self.starter)(request).map(Ok).boxed();
        }
        let open = self.requests.open_request();
        let request = request.map(|body| body.with_progress(Arc::clone(open.progress())));
        if request.body().is_end_stream() && self.stream.lock().has_ended() {
            // The caller has left; the connection ends when the server next waits.
            return async move {
                let _open = open;
                std::future::pending().await
            }
            .boxed();
        }
        let answer = self.answer(request);
        self.finish(answer, open).boxed()
    }

    /// Answer of a request that the HTTP server has reached: the one in progress if the request was started early.
    fn answer(&self, mut request: Request<CallerBody>) -> BoxFuture<'static, Response<B>> {
        let taken = self.lock_early().map(|mut early| {
            let mut stream = self.stream.lock();
            let taken = early.take(&request, stream.scanner());
            if early.is_empty() && matches!(taken, TakenRequest::Fresh(_)) {
                stream.return_reservation();
            }
            taken
        });
        match taken {
            Some(TakenRequest::Started(answer, due)) => {
                self.set_current(due);
                async move {
                    match answer.await {
                        Ok(held) => held.into_response(),
                        Err(error) => match error.try_into_panic() {
                            Ok(panic) => std::panic::resume_unwind(panic),
                            // The runtime shuts down, which ends this task as well.
                            Err(_) => std::future::pending().await,
                        },
                    }
                }
                .boxed()
            }
            Some(TakenRequest::Fresh(arrived_at)) => {
                let due = AnswerDue::default();
                self.set_current(due.clone());
                request.extensions_mut().insert(due);
                if let Some(arrived_at) = arrived_at {
                    request.extensions_mut().insert(ArrivalTime(arrived_at));
                }
                (self.starter)(request)
            }
            None => (self.starter)(request),
        }
    }

    /// Waits for an answer. Once the server leaves, the answer of the last request that was started closes the connection, so
    /// that callers take those behind it as not read.
    async fn finish(
        self: Arc<Self>,
        answer: BoxFuture<'static, Response<B>>,
        open: OpenRequest,
    ) -> Result<Response<B>, Infallible> {
        let mut response = answer.await;
        if self.is_leaving() && !self.has_started_ahead() {
            let close = HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
            self.close_early();
        }
        if let Some(mut early) = self.lock_early() {
            early.record_answer();
        }
        drop(open);
        Ok(response)
    }

    fn set_current(&self, due: AnswerDue) {
        *self.current.lock().unwrap_or_else(PoisonError::into_inner) = due;
    }

    fn is_leaving(&self) -> bool {
        *self.phase.borrow() >= ServerPhase::Leaving
    }

    fn has_started_ahead(&self) -> bool {
        self.lock_early().is_some_and(|early| early.has_started())
    }

    fn lock_early(&self) -> Option<MutexGuard<'_, EarlyRequests<B>>> {
        let early = self.early.as_ref()?;
        Some(early.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Cancels the requests that the HTTP server has not reached.
    fn close_early(&self) {
        if let Some(mut early) = self.lock_early() {
            early.close(self.stream.lock().scanner());
        }
    }
}

fn guard_answer<B>(
    response: Response<B>,
    guard: Option<RequestGuard>,
) -> Response<GuardedBody<B, Option<RequestGuard>>> {
    response.map(|body| GuardedBody::new(body, guard))
}

/// Returns after `head_timeout` if no request has arrived on the connection by then; otherwise it never returns.
async fn wait_for_missing_request(requests: &ConnectionRequests, head_timeout: Duration) {
    tokio::time::sleep(head_timeout).await;
    if requests.has_begun() {
        std::future::pending::<()>().await;
    }
}

async fn wait_until_settled(phase: &mut watch::Receiver<ServerPhase>) {
    wait_until_closing(phase).await;
    tokio::time::sleep(SETTLE_TIME).await;
}
