//! Pool of keep-alive HTTP/1 connections to one address.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio_util::task::AbortOnDropHandle;

use crate::interface::StreamDialer;
use crate::sockets::IdleSocket;
use crate::sockets::OutgoingStream;
use crate::sockets::RequestSocket;
use crate::sockets::set_no_delay;

/// Idle connections that are kept open.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Connections that may be in use at once, idle ones not counted.
const MAX_ACTIVE_CONNECTIONS: usize = 32;

pub(crate) type StoreSender = http1::SendRequest<Full<Bytes>>;

/// Pool of keep-alive HTTP/1 connections to one address.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    dialer: Arc<dyn StreamDialer>,
    idle: Mutex<Vec<IdleConnection>>,
    active_permits: Semaphore,
}

struct IdleConnection {
    sender: StoreSender,
    task: AbortOnDropHandle<()>,
    socket: IdleSocket,
}

/// A connection acquired from the pool for one request. Dropping it resets it; `ConnectionPool::release` returns it for reuse.
pub(crate) struct PooledConnection<'a> {
    pub(crate) sender: StoreSender,
    pub(crate) is_reused: bool,
    task: AbortOnDropHandle<()>,
    socket: RequestSocket,
    _permit: SemaphorePermit<'a>,
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, dialer: Arc<dyn StreamDialer>) -> Arc<Self> {
        Arc::new(Self {
            address,
            dialer,
            idle: Mutex::default(),
            active_permits: Semaphore::new(MAX_ACTIVE_CONNECTIONS),
        })
    }

    /// Acquires an idle connection, or dials a new one if none is idle. With `must_be_new` one idle connection, if there
    /// is any, is closed and a new one dialed. Waits at most `timeout` for a permit and the connection together. The
    /// error is the reason as text.
    pub(crate) async fn acquire(
        &self,
        must_be_new: bool,
        timeout: Duration,
    ) -> Result<PooledConnection<'_>, Box<str>> {
        let acquire = async {
            let permit = self.active_permits.acquire().await.map_err(error_text)?;
            if let Some(idle) = self.pop_idle().filter(|_| !must_be_new) {
                return Ok(idle.acquire(true, permit));
            }
            let stream = self.dialer.dial(self.address).await.map_err(error_text)?;
            set_no_delay(&stream);
            let (stream, socket) = OutgoingStream::new(stream);
            let (sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(error_text)?;
            let task = tokio::spawn(async move {
                let _ = connection.await;
            });
            let idle = IdleConnection { sender, task: AbortOnDropHandle::new(task), socket };
            Ok(idle.acquire(false, permit))
        };
        tokio::time::timeout(timeout, acquire)
            .await
            .unwrap_or_else(|_| Err("connecting to the server timed out".into()))
    }

    /// Returns a connection to the pool. Call it only after the whole response body was read.
    pub(crate) fn release(&self, connection: PooledConnection<'_>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let PooledConnection { sender, task, socket, .. } = connection;
        let released = IdleConnection { sender, task, socket: socket.finish_request() };
        if idle.len() < MAX_IDLE_CONNECTIONS && !released.sender.is_closed() {
            idle.push(released);
        }
    }

    fn pop_idle(&self) -> Option<IdleConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| !connection.sender.is_closed());
        idle.pop()
    }
}

impl IdleConnection {
    fn acquire(self, is_reused: bool, permit: SemaphorePermit<'_>) -> PooledConnection<'_> {
        let Self { sender, task, socket } = self;
        let socket = socket.begin_request();
        PooledConnection { sender, is_reused, task, socket, _permit: permit }
    }
}

fn error_text(error: impl std::error::Error) -> Box<str> {
    error.to_string().into()
}
