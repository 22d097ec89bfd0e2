//! Pool of idle connections from callers to entry hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use futures::FutureExt;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use tokio::net::TcpStream;

use crate::load::request_body::CallerBody;

const MAX_IDLE_PER_ADDRESS: usize = 32;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Sending half of an HTTP/1 connection to an entry host.
pub type CallerSender = SendRequest<CallerBody>;

/// Idle connections of one customer's callers, by address.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IndexMap<SocketAddr, Vec<CallerSender>>>>,
}

impl ConnectionPool {
    /// Returns an idle connection or opens a new one; `None` if the address cannot be reached in time.
    pub async fn acquire(&self, address: SocketAddr) -> Option<CallerSender> {
        while let Some(mut sender) = self.pop_idle(address) {
            if sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection.map(drop));
        Some(sender)
    }

    /// Returns a connection to the pool. Its last answer must have been read to the end. It is dropped if the pool is full.
    pub fn release(&self, address: SocketAddr, sender: CallerSender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(address).or_default();
        if !sender.is_closed() && senders.len() < MAX_IDLE_PER_ADDRESS {
            senders.push(sender);
        }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<CallerSender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }
}
