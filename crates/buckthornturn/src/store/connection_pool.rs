//! Keep-alive connections to the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::interface::StreamDialer;

/// Idle connections that are kept.
const MAX_IDLE_CONNECTIONS: usize = 4;
/// Connections at once, idle ones left out.
const MAX_ACTIVE_CONNECTIONS: usize = 32;

pub(crate) type StoreSender = http1::SendRequest<Full<Bytes>>;

/// Keep-alive connections to the store.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    dialer: Arc<dyn StreamDialer>,
    idle: Mutex<Vec<StoreSender>>,
    active: Semaphore,
}

/// A connection on loan. Dropping it closes it.
pub(crate) struct PooledConnection<'a> {
    pub(crate) sender: StoreSender,
    pub(crate) is_reused: bool,
    _permit: SemaphorePermit<'a>,
}

impl ConnectionPool {
    pub(crate) fn new(address: SocketAddr, dialer: Arc<dyn StreamDialer>) -> Arc<Self> {
        Arc::new(Self {
            address,
            dialer,
            idle: Mutex::default(),
            active: Semaphore::new(MAX_ACTIVE_CONNECTIONS),
        })
    }

    /// Lends an idle connection, or a new one.
    pub(crate) async fn acquire(
        &self,
        must_be_new: bool,
        timeout: Duration,
    ) -> Result<PooledConnection<'_>, Box<str>> {
        let acquire = async {
            let permit = self.active.acquire().await.map_err(error_text)?;
            if let Some(sender) = self.pop_idle_sender().filter(|_| !must_be_new) {
                return Ok(PooledConnection { sender, is_reused: true, _permit: permit });
            }
            let stream = self.dialer.dial(self.address).await.map_err(error_text)?;
            stream.set_nodelay(true).map_err(error_text)?;
            let (sender, connection) =
                http1::handshake(TokioIo::new(stream)).await.map_err(error_text)?;
            tokio::spawn(connection.map(drop));
            Ok(PooledConnection { sender, is_reused: false, _permit: permit })
        };
        tokio::time::timeout(timeout, acquire)
            .await
            .unwrap_or_else(|_| Err("connecting took too long".into()))
    }

    /// Takes a connection back whose answer was read to its end.
    pub(crate) fn release(&self, connection: PooledConnection<'_>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        if idle.len() < MAX_IDLE_CONNECTIONS && !connection.sender.is_closed() {
            idle.push(connection.sender);
        }
    }

    fn pop_idle_sender(&self) -> Option<StoreSender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|sender| !sender.is_closed());
        idle.pop()
    }
}

fn error_text(error: impl std::error::Error) -> Box<str> {
    error.to_string().into()
}
