//! A membership view and peer calls that the test sets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use buckthornturn::interface::MemberEntry;
use buckthornturn::interface::MemberHealth;
use buckthornturn::interface::MemberView;
use buckthornturn::interface::PeerCaller;
use buckthornturn::interface::PeerError;
use buckthornturn::interface::PeerHandler;
use buckthornturn::interface::PeerReply;
use buckthornturn::interface::PeerRequest;
use futures::FutureExt;
use futures::future::BoxFuture;
use indexmap::IndexMap;

/// A membership view and peer calls that the test sets; a call to a host without a handler times out at once.
#[derive(Default)]
pub struct FakePeers {
    members: Mutex<Vec<MemberEntry>>,
    handlers: Mutex<IndexMap<Box<str>, Arc<dyn PeerHandler>>>,
}

impl FakePeers {
    /// Adds a member; it replaces an earlier one of the same name.
    pub fn set_member(
        &self,
        host: &str,
        incarnation: u64,
        callers: Option<SocketAddr>,
        health: MemberHealth,
    ) {
        let mut members = self.members.lock().unwrap();
        members.retain(|member| &*member.host != host);
        members.push(MemberEntry {
            host: host.into(),
            incarnation,
            failure_domain: "d".into(),
            region: "r".into(),
            callers,
            mesh: SocketAddr::from(([127, 0, 0, 1], 1)),
            health,
            revision: 1,
            heard_ago: None,
            plan_shrunk: 0,
            store_reached: true,
            confirmation_age: None,
        });
    }

    /// Sets the handler that receives the calls to a host.
    pub fn set_handler(&self, host: &str, handler: Arc<dyn PeerHandler>) {
        self.handlers.lock().unwrap().insert(host.into(), handler);
    }
}

impl PeerCaller for FakePeers {
    fn call<'a>(
        &'a self,
        peer: &'a str,
        request: PeerRequest,
        _timeout: Duration,
    ) -> BoxFuture<'a, Result<PeerReply, PeerError>> {
        let handler = self.handlers.lock().unwrap().get(peer).cloned();
        async move {
            match handler {
                Some(handler) => handler.handle("caller".into(), request).await,
                None => Err(PeerError::TimedOut { peer: peer.into() }),
            }
        }
        .boxed()
    }

    fn members(&self) -> Arc<MemberView> {
        Arc::new(MemberView { members: self.members.lock().unwrap().clone() })
    }
}
