//! Connections that callers keep alive.

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

/// Sender of one connection.
pub type CallerSender = SendRequest<CallerBody>;

/// Idle connections by address, of one customer's callers.
#[derive(Clone, Default)]
pub struct ConnectionPool {
    idle: Arc<Mutex<IndexMap<SocketAddr, Vec<CallerSender>>>>,
}

impl ConnectionPool {
    /// An idle connection, or a new one; `None` if the address cannot be reached.
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

    /// Gives a connection back whose answer has been read to its end.
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
