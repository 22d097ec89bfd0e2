//! Stand-in for a target, with configurable behaviour and counts of what it executed.

mod answer_content;
mod execution_ledger;
mod load_history;
mod paced_body;
mod slot_pool;
mod target_behaviour;
mod target_service;
mod warm_up;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

pub use crate::target_standin::answer_content::AnswerContent;
pub use crate::target_standin::execution_ledger::ExecutionLedger;
pub use crate::target_standin::execution_ledger::TargetCounts;
pub use crate::target_standin::target_behaviour::ReportOverride;
pub use crate::target_standin::target_behaviour::TargetBehaviour;

use crate::http_server::HttpServer;
use crate::target_standin::target_service::TargetService;

/// Running stand-in for a target. Dropping it closes its connections, also those with requests in progress, and panics if it
/// has read another request than a caller sent.
pub struct TargetStandin {
    server: HttpServer,
    service: Arc<TargetService>,
}

impl Drop for TargetStandin {
    fn drop(&mut self) {
        self.service.ledger().bodies().assert_unchanged("stand-in");
    }
}

impl TargetStandin {
    /// Starts a target with an empty ledger.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn start(
        name: Box<str>,
        address: SocketAddr,
        behaviour: TargetBehaviour,
    ) -> io::Result<Self> {
        Self::resume(name, address, behaviour, Arc::default()).await
    }

    /// Starts a target that continues the ledger of an earlier one, so that executions from before a restart count too.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be listened on.
    pub async fn resume(
        name: Box<str>,
        address: SocketAddr,
        behaviour: TargetBehaviour,
        ledger: Arc<ExecutionLedger>,
    ) -> io::Result<Self> {
        ledger.set_running(true);
        let service = Arc::new(TargetService::new(name, behaviour, ledger));
        let shared = Arc::clone(&service);
        let server = HttpServer::start(address, move |request| {
            let service = Arc::clone(&shared);
            async move { service.serve(request).await }
        })
        .await?;
        Ok(Self { server, service })
    }

    /// Address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Ledger of the target's executions, for `resume` after a restart.
    pub fn ledger(&self) -> Arc<ExecutionLedger> {
        self.service.ledger()
    }

    /// Counts of the target's requests, those from before a restart included.
    pub fn counts(&self) -> TargetCounts {
        self.service.counts()
    }

    /// Copy of the behaviour in force.
    pub fn behaviour(&self) -> TargetBehaviour {
        self.service.behaviour()
    }

    /// Replaces the behaviour; requests in progress keep the former one.
    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.service.set_behaviour(behaviour);
    }
}
